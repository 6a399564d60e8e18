//! An entry as a real process, with floods from all that it talks to.

mod site;

use std::{fs, net::SocketAddr, time::Duration};

use nix::sys::signal::{Signal, kill};
use pondwalk_standin::{floods::Flood, memory_store::MemoryStore};
use site::{
    FLOOD_DEADLINE_MS, START_TIMEOUT, Site, call, flood_service, request_head, routes_of,
    run_on_thread, run_test, start_entry, write_endlessly,
};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, sleep},
};

/// Floods at once.
const FLOODS: usize = 32;
/// Memory that all floods together may take.
const MAX_FLOOD_KB: u64 = 64 * 1024;

/// Checks the process after floods: it runs, and took little memory.
fn check_memory(site: &Site, calm_kb: u64) {
    let peak_kb = site.status_kb("VmHWM");
    assert!(peak_kb > 0, "the process has ended");
    assert!(peak_kb <= calm_kb + MAX_FLOOD_KB, "{peak_kb} KB at most, {calm_kb} KB when calm");
}

async fn calm_kb(site: &Site) -> u64 {
    site.call_plain(Instant::now() + Duration::from_secs(1)).await;
    site.status_kb("VmRSS")
}

#[test]
fn floods_of_servers_do_not_fill_memory() {
    run_test(async {
        let site = Site::start("server-floods").await;
        let calm_kb = calm_kb(&site).await;
        let targets: Vec<String> = (0..FLOODS)
            .map(|number| {
                let service = flood_service(number % Flood::ALL.len());
                format!("{}x", routes_of(service)[number % 3].0)
            })
            .collect();
        let mut unread = Vec::new();
        for (number, path) in targets.iter().enumerate().filter(|(number, _)| number % 2 == 0) {
            unread.push(site.call_without_reading(path, &format!("f{number}")).await);
        }
        let read = targets.iter().enumerate().filter(|(number, _)| number % 2 == 1);
        let (ended, mut outcomes) = mpsc::unbounded_channel();
        for (number, path) in read {
            let (address, id, path) = (site.callers, format!("f{number}"), path.clone());
            let ended = ended.clone();
            run_on_thread(move || async move {
                let status = call(address, &path, &id, FLOOD_DEADLINE_MS).await;
                ended.send((path, status)).expect("the test waits");
            });
        }
        drop(ended);
        let until = Instant::now() + Duration::from_millis(FLOOD_DEADLINE_MS + 1_000);
        let (sent, served) = site.call_plain(until).await;
        assert_eq!((sent, served), (sent, sent));
        while let Some((path, status)) = outcomes.recv().await {
            assert!(status != Some(200), "an endless answer looked complete: {path}");
        }
        drop(unread);
        check_memory(&site, calm_kb);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(site.metric("pondwalk_buffered_bytes").await, 0);
    });
}

#[test]
fn floods_of_the_store_do_not_fill_memory() {
    run_test(async {
        let site = Site::start("store-floods").await;
        let calm_kb = calm_kb(&site).await;
        site.store_floods.set(true);
        let (sent, served) = site.call_plain(Instant::now() + Duration::from_secs(3)).await;
        assert_eq!((sent, served), (sent, sent));
        sleep(Duration::from_secs(2)).await;
        check_memory(&site, calm_kb);
        assert!(site.metric("pondwalk_store_failures_total").await > 0);
        // Once the store answers again, the entry follows it again.
        site.store_floods.set(false);
        let limit = Instant::now() + Duration::from_secs(10);
        while site.call("/plain/idempotent/x", "after", 1_000).await != Some(200) {
            assert!(Instant::now() < limit, "the entry does not follow the store");
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Starts floods of callers, peers and whoever reads the metrics.
async fn flood_entry(site: &Site, floods: usize) {
    let request = |path: &str, rest: &str| request_head(path, "f", rest);
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let kinds: [(SocketAddr, String, &[u8]); 8] = [
        (site.callers, request("/plain/idempotent/x", chunked), b"4\r\nxxxx\r\n"),
        (site.callers, request("/plain/idempotent/x", chunked), b"0"),
        (site.callers, request("/plain/idempotent/x", ""), b"x-more: x\r\n"),
        (site.callers, request("/plain/idempotent/x", "x-more: "), b"x"),
        (site.peers, request("/news", chunked), b"4\r\nxxxx\r\n"),
        (site.peers, request("/probe", "content-length: 900000000000\r\n\r\n"), b"x"),
        (site.peers, request("/news", ""), b"x-more: x\r\n"),
        (site.metrics, "GET /metrics HTTP/1.1\r\nx-more: ".to_owned(), b"x"),
    ];
    for number in 0..floods {
        let (address, head, repeated) = &kinds[number % kinds.len()];
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (head, repeated) = (head.clone(), *repeated);
        let stream = stream.into_std().expect("a socket");
        run_on_thread(move || async move {
            let stream = TcpStream::from_std(stream).expect("a socket");
            write_endlessly(stream, head.as_bytes(), repeated).await;
        });
    }
}

#[test]
fn floods_of_callers_and_peers_do_not_fill_memory() {
    run_test(async {
        let site = Site::start("caller-floods").await;
        let calm_kb = calm_kb(&site).await;
        flood_entry(&site, FLOODS).await;
        let (sent, served) = site.call_plain(Instant::now() + Duration::from_secs(3)).await;
        assert_eq!((sent, served), (sent, sent));
        check_memory(&site, calm_kb);
    });
}

#[test]
fn floods_from_all_sides_at_once_do_not_fill_memory() {
    run_test(async {
        let site = Site::start("all-floods").await;
        let calm_kb = calm_kb(&site).await;
        site.store_floods.set(true);
        flood_entry(&site, FLOODS / 2).await;
        let mut unread = Vec::new();
        for number in 0..FLOODS / 2 {
            let service = flood_service(number % Flood::ALL.len());
            let path = format!("{}x", routes_of(service)[number % 3].0);
            unread.push(site.call_without_reading(&path, &format!("f{number}")).await);
        }
        let (sent, served) = site.call_plain(Instant::now() + Duration::from_secs(3)).await;
        assert_eq!((sent, served), (sent, sent));
        check_memory(&site, calm_kb);
    });
}

/// Guards against an entry that never becomes ready beside long records of another writer.
#[test]
fn entry_starts_and_follows_beside_long_records_of_another_writer() {
    run_test(async {
        let store = MemoryStore::default();
        let long = "[".repeat(400_000);
        for number in 0..80 {
            store.put(&format!("servers/long-{number}"), &long);
        }
        let site = Site::start_on(store.clone(), "long-records", &[]).await;
        let peak_kb = site.status_kb("VmHWM");
        assert!((1..=MAX_FLOOD_KB).contains(&peak_kb), "{peak_kb} KB");
        for number in 0..80 {
            store.put(&format!("servers/more-{number}"), &long);
        }
        sleep(Duration::from_secs(3)).await;
        let (sent, served) = site.call_plain(Instant::now() + Duration::from_secs(1)).await;
        assert_eq!((sent, served), (sent, sent));
        assert!(site.status_kb("VmHWM") <= MAX_FLOOD_KB, "{} KB", site.status_kb("VmHWM"));
    });
}

/// Starts an entry whose settings are not readable yet, sends it a signal, and then lets it read.
async fn start_signalled(name: &str, signals: &[Signal]) -> Site {
    let folder = std::env::temp_dir().join(format!("pondwalk-{name}-fifo-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let mut site = Site::start(name).await;
    let text = fs::read(site.folder.join("entry.ini")).expect("the settings");
    site.child.kill().expect("it runs");
    site.child.wait().expect("it ends");
    let fifo = folder.join("entry.ini");
    nix::unistd::mkfifo(&fifo, nix::sys::stat::Mode::S_IRUSR | nix::sys::stat::Mode::S_IWUSR)
        .expect("a pipe");
    site.child = start_entry(&fifo);
    // Opening the pipe succeeds once the entry has opened it too.
    let path = fifo.clone();
    let writer = tokio::task::spawn_blocking(move || {
        fs::OpenOptions::new().write(true).open(path).expect("the entry reads")
    });
    let mut writer = writer.await.expect("it opens");
    for signal in signals {
        kill(site.pid(), *signal).expect("it runs");
    }
    std::io::Write::write_all(&mut writer, &text).expect("the settings");
    drop(writer);
    fs::remove_dir_all(&folder).expect("the folder");
    site
}

#[test]
fn reload_signal_during_the_start_does_not_end_the_process() {
    run_test(async {
        let site = start_signalled("early-reload", &[Signal::SIGHUP, Signal::SIGHUP]).await;
        site.wait_until_served().await;
    });
}

#[test]
fn stop_signal_during_the_start_ends_the_process_in_order() {
    run_test(async {
        let signals = [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP];
        let mut site = start_signalled("early-stop", &signals).await;
        let limit = Instant::now() + START_TIMEOUT;
        let status = loop {
            if let Some(status) = site.child.try_wait().expect("a child") {
                break status;
            }
            assert!(Instant::now() < limit, "the process does not end");
            sleep(Duration::from_millis(20)).await;
        };
        assert!(status.success(), "{status}");
    });
}
