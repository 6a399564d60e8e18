//! Servers that come, change and go.

use std::time::Duration;

use super::Router;
use crate::request::ServerReport;

impl Router {
    /// Takes in what a server, or the instance list, says of a server that is live.
    pub fn update_server(&mut self, now: Duration, report: &ServerReport) {
        let ix = self.server_names.intern(&report.server);
        let versions: Vec<_> =
            report.versions.iter().map(|name| self.versions.intern(name)).collect();
        let unchanged = self.servers.get(ix).is_some_and(|known| {
            known.open
                && known.slots == report.slots
                && known.versions == versions
                && known.data_centre == report.data_centre
        });
        if !unchanged {
            self.servers.put(ix, &report.data_centre, versions, report.slots);
        }
        if let Some(load) = report.load {
            self.servers.report(ix, now, load);
        }
    }

    /// Takes in the load that a server carried back on a reply.
    pub fn update_server_load(&mut self, now: Duration, server: &str, load: u32) {
        if let Some(ix) = self.server_names.find(server) {
            self.servers.report(ix, now, load);
        }
    }

    /// A server is leaving or gone: it gets no new work from now on.
    pub fn deactivate_server(&mut self, server: &str) {
        if let Some(ix) = self.server_names.find(server) {
            self.servers.close(ix);
        }
    }
}
