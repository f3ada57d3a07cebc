//! A view that skips to a newer state removes the items that the newer state no longer has.

use persimmongate_core::fleet::View;
use persimmongate_core::record::{self, Role};
use persimmongate_core::state::{Member, State};

#[test]
fn verify_removed_member_leaves_the_view() {
    let address = ([127, 0, 0, 1], 1).into();
    let member = Member {
        announcement: record::Announcement {
            role: Role::Entry,
            peer: address,
            http: address,
            zone: "z".into(),
        },
        incarnation: 1,
        sequence: 1,
        renewed_offset: 0,
    };
    let mut older = State::default();
    older.members.insert("entry".into(), member);
    older.budgets.insert("finder".into(), 3);
    let newer = State::default();
    let mut view = View::default();
    for change in older.changes() {
        view.apply(change);
    }
    for change in newer.changes_since(&older) {
        view.apply(change);
    }
    assert!(view.members.is_empty());
    assert_eq!(view.budgets.get("finder"), Some(&0));
}
