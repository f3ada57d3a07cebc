//! The baselines for moves: none at all, and one at every difference from the sheet.

use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::record::Body;
use persimmongate_core::state::{Host, SPARE};

use super::World;

/// Time after which a move was read back.
const READ_BACK_DELAY: Duration = Duration::from_millis(500);

impl World {
    /// Moves a host for each pool whose serving hosts differ from the sheet.
    pub(super) fn step_greedy(&mut self) {
        // The moves of the latest step have to be folded first.
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
                self.move_one(SPARE, pool, pool);
            } else if serving > service.host_count {
                self.move_one(pool, SPARE, pool);
            }
        }
    }

    /// Moves the host that leaves the pool of the service spread best over racks.
    fn move_one(&mut self, from: &'static str, to: &'static str, held: &str) {
        let hosts = self.log.state.hosts.iter();
        let open = hosts.filter(|(_, host)| &*host.pool == from && host.is_serving());
        let key = |(name, host): &(&ids::Host, &Host)| {
            let hosts = self.log.state.hosts.values();
            let count = hosts.filter(|other| &*other.pool == held && other.rack == host.rack);
            let count = count.count();
            let crowded = if to == held {
                count
            } else {
                usize::MAX - count
            };
            (crowded, (*name).clone())
        };
        let Some((host, revision)) = open
            .min_by_key(key)
            .map(|(name, host)| (name.clone(), host.revision))
        else {
            return;
        };
        let term = self.log.state.pools[held].term;
        let body = Body::Move {
            host,
            from: from.into(),
            to: to.into(),
            revision,
            term,
        };
        self.append_as_holder(held, body);
    }
}
