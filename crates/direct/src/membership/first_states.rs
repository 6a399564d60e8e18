//! How many first states an entry tells, and to whom it sends those that ask for more.
//!
//! After a restart of all, every entry asks the same few seeds for the whole state at once. That grows with the
//! entries times what each must hear, while a seed's link does not grow. So an entry tells as many as its
//! link carries in a short time, and sends the others on to those it has told, who do the same.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, time::Duration};

/// Time within which what was promised must have left over the link.
const HORIZON: Duration = Duration::from_millis(250);
/// Part of the link that first states may take; callers have the rest.
const LINK_PART: f64 = 0.5;
/// Width of a link that is not told, in megabits a second.
const USUAL_LINK_MBPS: u32 = 100;
/// Entries told that are remembered, the latest.
const MOST_TOLD: usize = 64;
/// Entries that one asker is sent on to.
const MOST_NAMED: usize = 3;
/// Time for which an entry told is named: later all that started with it have heard.
const NAMED_TIME: Duration = Duration::from_secs(30);

/// What becomes of a question for a first state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FirstAnswer {
    /// It is told.
    Told,
    /// These entries have been told before; without one, the asker may come again.
    Ask(Vec<SocketAddr>),
}

/// The first states that an entry has told of late.
#[derive(Debug)]
pub struct FirstStates {
    link_mbps: u32,
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// When the link will have carried all that was promised.
    free_at: Duration,
    /// Who was told, with when it will have heard all of it.
    told: VecDeque<(Duration, SocketAddr)>,
    /// Who is named next.
    turn: usize,
}

impl FirstStates {
    /// Nothing is told yet; a link of 0 is one whose width is not known.
    pub fn new(link_mbps: u32) -> Self {
        let link_mbps = if link_mbps == 0 { USUAL_LINK_MBPS } else { link_mbps };
        FirstStates { link_mbps, inner: RefCell::default() }
    }

    /// Takes a question for a state of so many bytes; `asker` is where the asker can be asked in its turn, if it
    /// can.
    pub fn take(&self, bytes: usize, asker: Option<SocketAddr>, now: Duration) -> FirstAnswer {
        let mut inner = self.inner.borrow_mut();
        // NB: a state that takes longer than the horizon is told to one after the other.
        if inner.free_at > now + HORIZON {
            return FirstAnswer::Ask(inner.name(asker, now));
        }
        inner.free_at = inner.free_at.max(now) + self.time_for(bytes);
        let heard_at = inner.free_at;
        if let Some(asker) = asker {
            inner.told.retain(|(_, told)| *told != asker);
            inner.told.push_back((heard_at, asker));
        }
        if inner.told.len() > MOST_TOLD {
            inner.told.pop_front();
        }
        FirstAnswer::Told
    }

    fn time_for(&self, bytes: usize) -> Duration {
        let bits_per_s = f64::from(self.link_mbps) * 1e6 * LINK_PART;
        Duration::from_secs_f64(bytes as f64 * 8.0 / bits_per_s)
    }
}

impl Inner {
    /// Some of those that have been told all, another one first each time.
    fn name(&mut self, asker: Option<SocketAddr>, now: Duration) -> Vec<SocketAddr> {
        let is_of_use = |(at, told): &&(Duration, SocketAddr)| {
            *at <= now && now < *at + NAMED_TIME && Some(*told) != asker
        };
        let mut named: Vec<SocketAddr> =
            self.told.iter().filter(is_of_use).map(|(_, told)| *told).collect();
        if !named.is_empty() {
            let first = self.turn % named.len();
            self.turn = self.turn.wrapping_add(1);
            named.rotate_left(first);
        }
        named.truncate(MOST_NAMED);
        named
    }
}
