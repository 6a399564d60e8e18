//! Changes of the set of servers.

use std::time::Duration;

use super::Router;
use crate::request::ServerReport;

impl Router {
    /// Applies the report of a live server, from its agent or from the instance list.
    pub fn update_server(&mut self, now: Duration, report: &ServerReport) {
        let ix = self.server_names.intern(&report.server);
        let versions: Vec<_> =
            report.versions.iter().map(|name| self.versions.intern(name)).collect();
        let unchanged = self.servers.get(ix).is_some_and(|current| {
            current.active
                && current.slots == report.slots
                && current.versions == versions
                && current.data_centre == report.data_centre
        });
        if !unchanged {
            self.servers.insert(ix, &report.data_centre, versions, report.slots);
        }
        if let Some(load) = report.load {
            self.servers.record_load(ix, now, load);
        }
    }

    /// Applies the load that a server reported with a reply.
    pub fn update_server_load(&mut self, now: Duration, server: &str, load: u32) {
        if let Some(ix) = self.server_names.find(server) {
            self.servers.record_load(ix, now, load);
        }
    }

    /// Stops sending new work to a server that is draining or gone.
    pub fn deactivate_server(&mut self, server: &str) {
        if let Some(ix) = self.server_names.find(server) {
            self.servers.deactivate(ix);
        }
    }
}
