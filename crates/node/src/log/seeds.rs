//! Folds of peers while the log can't be read.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context};
use persimmongate_core::ids;
use persimmongate_wire::frame::{Frame, Hello, PROTOCOL_VERSION};

use super::follower::Follower;
use crate::peer::{Dialer, SendFrame};

/// Time between two questions to the peers.
pub(super) const PERIOD: Duration = Duration::from_secs(1);
/// Members that are asked besides the seeds, at most.
const MEMBERS_MAX: usize = 3;

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Asks peers for a fold that is ahead of the own one while the log can't be
    /// read, or no longer keeps the next record.
    pub(super) fn ask_peers(&mut self, ctx: &mut Context<Self>) {
        if !self.down && self.search.is_none() {
            // Dropped dialers close their links.
            self.dialers.clear();
            return;
        }
        if self.dialers.is_empty() {
            self.dialers = self.dial(ctx);
        }
        let least = if self.ready {
            self.state.next_offset + 1
        } else {
            self.state.next_offset
        };
        for dialer in &self.dialers {
            dialer.do_send(SendFrame(Frame::Fetch {
                min_next_offset: least,
            }));
        }
    }

    fn dial(&self, ctx: &mut Context<Self>) -> Vec<Addr<Dialer>> {
        let others = self
            .state
            .members
            .iter()
            .filter(|(id, _)| **id != self.options.instance);
        let mut others: Vec<(&ids::Instance, SocketAddr)> = others
            .map(|(id, member)| (id, member.announcement.peer))
            .collect();
        others.sort();
        let members = others
            .into_iter()
            .map(|(_, address)| address)
            .take(MEMBERS_MAX);
        let mut addresses: Vec<SocketAddr> = self.options.seeds.clone();
        addresses.extend(members);
        addresses.sort();
        addresses.dedup();
        let hello = Hello {
            version: PROTOCOL_VERSION,
            instance: self.options.instance.clone(),
            role: self.options.announcement.role,
        };
        let restore = ctx.address().recipient();
        let dial = |address| Dialer::new(address, hello.clone(), Some(restore.clone())).start();
        addresses.into_iter().map(dial).collect()
    }
}
