use crate::ids;
use crate::job::Job;

/// `Denial` is the reason for which a call to a queue is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Denial {
    /// The call has no key.
    NoKey,
    /// No account of the configuration has the key.
    UnknownKey,
}

/// `Caller` is who makes a call, as far as its key tells.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Caller {
    /// A caller with a key of the account.
    Account(ids::Account),
    /// A caller of the queue, which needs no key.
    Public(ids::Queue),
}

impl Caller {
    /// Returns the account that the caller's jobs belong to.
    #[must_use]
    pub fn account(&self) -> Option<&ids::Account> {
        match self {
            Self::Account(account) => Some(account),
            Self::Public(_) => None,
        }
    }

    /// Checks if the caller may see, cancel and repeat a job: one of its own account, or of no account.
    ///
    /// A queue may be opened to all after it accepted jobs of accounts. Their callers need no key from then on, so such
    /// jobs are theirs who may call that queue, and no other open queue.
    #[must_use]
    pub fn owns(&self, job: &Job) -> bool {
        match (&job.account, self) {
            (None, _) => true,
            (Some(owner), Self::Account(account)) => owner == account,
            (Some(_), Self::Public(queue)) => job.queue == *queue,
        }
    }
}
