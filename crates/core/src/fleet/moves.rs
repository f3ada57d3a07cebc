//! Moves between the spare pool and the pools of services.

use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::map::Map;
use crate::record::Body;
use crate::state::{Host, SPARE};

impl Manager {
    /// Moves hosts between a held pool and the spare pool until the pool has its size.
    pub(crate) fn balance(&mut self, pool: &ids::Pool, term: ids::Term, actions: &mut Vec<Action>) {
        let spare = ids::Pool::from_static(SPARE);
        if *pool == spare {
            return;
        }
        let Some(entry) = self.view.pools.get(pool) else {
            return;
        };
        let target = usize::try_from(entry.target).unwrap_or(usize::MAX);
        let have = self.view.hosts_of(pool).count();
        let (from, to, wanted) = if have < target {
            (&spare, pool, target - have)
        } else {
            (pool, &spare, have - target)
        };
        let under_way = self
            .view
            .hosts_of(from)
            .filter(|(name, _)| self.is_pending(&Subject::Host((*name).clone())));
        let wanted = wanted
            .min(self.options.moves)
            .saturating_sub(under_way.count());
        for host in self.candidates(from, pool, wanted) {
            let Some(entry) = self.view.hosts.get(&host) else {
                continue;
            };
            let body = Body::Move {
                host: host.clone(),
                from: from.clone(),
                to: to.clone(),
                revision: entry.revision,
                term,
            };
            self.append(Subject::Host(host), body, actions);
        }
    }

    /// Gets serving hosts to move, from the zones in which the pool has least when it grows.
    fn candidates(&self, from: &ids::Pool, pool: &ids::Pool, wanted: usize) -> Vec<ids::Host> {
        let mut zones: Map<&ids::Zone, usize> = Map::default();
        for (_, host) in self.view.hosts_of(pool) {
            *zones.entry(&host.zone).or_default() += 1;
        }
        let free = |(name, host): &(&ids::Host, &Host)| {
            host.is_serving() && !self.is_pending(&Subject::Host((*name).clone()))
        };
        let mut open: Vec<_> = self.view.hosts_of(from).filter(free).collect();
        let mut chosen = Vec::new();
        while chosen.len() < wanted && !open.is_empty() {
            let count = |host: &Host| zones.get(&host.zone).copied().unwrap_or(0);
            let best = if from == pool {
                open.iter()
                    .enumerate()
                    .max_by_key(|(_, (_, host))| count(host))
            } else {
                open.iter()
                    .enumerate()
                    .min_by_key(|(_, (_, host))| count(host))
            };
            let Some(index) = best.map(|(index, _)| index) else {
                break;
            };
            let (name, host) = open.swap_remove(index);
            let zone = zones.entry(&host.zone).or_default();
            *zone = if from == pool {
                zone.saturating_sub(1)
            } else {
                *zone + 1
            };
            chosen.push(name.clone());
        }
        chosen
    }
}
