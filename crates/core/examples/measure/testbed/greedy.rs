//! Baseline for moves: a move at every difference between the serving hosts and the sheet.

use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::record::Body;
use persimmongate_core::state::{Host, SPARE};

use super::World;

/// Time after which the moves of a step count as read back.
const READ_BACK_DELAY: Duration = Duration::from_millis(500);

impl World {
    /// Moves a host for each pool whose number of serving hosts differs from the sheet.
    pub(super) fn step_greedy(&mut self) {
        // The moves of the previous step have to take effect first.
        if self.now < self.greedy_moved_at + READ_BACK_DELAY {
            return;
        }
        self.greedy_moved_at = self.now;
        for service in self.plan.services.clone() {
            let (pool, serving) = (
                service.name,
                self.log.state.serving_hosts(&service.name.into()),
            );
            if serving < service.host_count {
                self.move_host(SPARE, pool, pool);
            } else if serving > service.host_count {
                self.move_host(pool, SPARE, pool);
            }
        }
    }

    /// Moves the host that leaves the hosts of `service_pool` spread best over racks.
    fn move_host(&mut self, from: &'static str, to: &'static str, service_pool: &str) {
        let hosts = self.log.state.hosts.iter();
        let candidates = hosts.filter(|(_, host)| &*host.pool == from && host.is_serving());
        let rank = |(name, host): &(&ids::Host, &Host)| {
            let hosts = self.log.state.hosts.values();
            let rack_hosts =
                hosts.filter(|other| &*other.pool == service_pool && other.rack == host.rack);
            let rack_hosts = rack_hosts.count();
            let crowding = if to == service_pool {
                rack_hosts
            } else {
                usize::MAX - rack_hosts
            };
            (crowding, (*name).clone())
        };
        let Some((host, revision)) = candidates
            .min_by_key(rank)
            .map(|(name, host)| (name.clone(), host.revision))
        else {
            return;
        };
        let term = self.log.state.pools[service_pool].term;
        let body = Body::Move {
            host,
            from: from.into(),
            to: to.into(),
            revision,
            term,
        };
        self.append_as_holder(service_pool, body);
    }
}
