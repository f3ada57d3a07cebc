//! Requests for the state of peers while the log can't be read.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context};
use persimmongate_core::ids;
use persimmongate_wire::frame::{Frame, Hello, PROTOCOL_VERSION};

use super::follower::Follower;
use crate::peer::{Dialer, Outbound};

/// Interval between requests to the peers.
pub(super) const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of members asked in addition to the seeds.
const MAX_MEMBERS_ASKED: usize = 3;

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Requests a state that is ahead of the local one from peers while the log can't be read or
    /// no longer keeps the next record.
    pub(super) fn request_peer_states(&mut self, ctx: &mut Context<Self>) {
        if !self.is_log_down && self.snapshot_search.is_none() {
            // A dropped dialer closes its link.
            self.dialers.clear();
            return;
        }
        if self.dialers.is_empty() {
            self.dialers = self.dial_peers(ctx);
        }
        let min_next_offset = if self.is_ready {
            self.state.next_offset + 1
        } else {
            self.state.next_offset
        };
        for dialer in &self.dialers {
            dialer.do_send(Outbound(Frame::Fetch { min_next_offset }));
        }
    }

    fn dial_peers(&self, ctx: &mut Context<Self>) -> Vec<Addr<Dialer>> {
        let other_members = self
            .state
            .members
            .iter()
            .filter(|(id, _)| **id != self.options.instance);
        let mut other_members: Vec<(&ids::Instance, SocketAddr)> = other_members
            .map(|(id, member)| (id, member.announcement.peer))
            .collect();
        other_members.sort();
        let member_addresses = other_members
            .into_iter()
            .map(|(_, address)| address)
            .take(MAX_MEMBERS_ASKED);
        let mut addresses: Vec<SocketAddr> = self.options.seeds.clone();
        addresses.extend(member_addresses);
        addresses.sort();
        addresses.dedup();
        let hello = Hello {
            version: PROTOCOL_VERSION,
            instance: self.options.instance.clone(),
            role: self.options.announcement.role,
        };
        let state_recipient = ctx.address().recipient();
        let dial =
            |address| Dialer::new(address, hello.clone(), Some(state_recipient.clone())).start();
        addresses.into_iter().map(dial).collect()
    }
}
