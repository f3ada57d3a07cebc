//! Tests of client accounts: who a key belongs to, which calls need one, and whose jobs a caller may see.

mod records;

use bytes::Bytes;
use bytestring::ByteString;
use persimmongate_core::account::{Account, Caller, Denial, Directory, Key, Limit};
use persimmongate_core::job::Job;
use persimmongate_core::queue::{Config, Queue};
use test_case::test_case;

fn key(text: &'static str) -> Key {
    Key::try_from(Bytes::from_static(text.as_bytes())).unwrap()
}

fn account(name: &'static str, keys: &[&'static str], weight: f64) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().copied().map(key).collect(),
        weight,
        limit: Limit::default(),
    }
}

fn queue(name: &'static str, is_open: bool) -> Queue {
    Queue {
        name: name.into(),
        hostname: "queue.example".into(),
        path_prefix: format!("/{name}/").into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 1,
        stretch: 2.0,
        allowance: std::time::Duration::from_secs(1),
        call_timeout: std::time::Duration::from_secs(3),
        policy_service: None,
        is_open,
    }
}

fn config(accounts: Directory) -> Config {
    let queues = vec![queue("closed", false), queue("open", true)];
    Config::new(7, queues, Vec::new()).with_accounts(accounts)
}

fn job(queue: &'static str, account: Option<&'static str>) -> Job {
    Job {
        id: "5c0e7a21d94b36f8".into(),
        queue: queue.into(),
        service: "service".into(),
        account: account.map(Into::into),
        payload: "text".into(),
        steps: Vec::new(),
        schedule: None,
        accepted_at_ms: 0,
        has_detached_payload: false,
    }
}

fn caller(queue: &'static str, account: Option<&'static str>) -> Caller {
    account.map_or_else(
        || Caller::Public(queue.into()),
        |account| Caller::Account(account.into()),
    )
}

#[test_case("closed", None, Err(Denial::NoKey); "no key")]
#[test_case("closed", Some("other"), Err(Denial::UnknownKey); "a key of no account")]
#[test_case("closed", Some("fir"), Err(Denial::UnknownKey); "the beginning of a key")]
#[test_case("closed", Some("first"), Ok(Some("one")); "a key")]
#[test_case("closed", Some("second"), Ok(Some("one")); "another key of the account")]
#[test_case("closed", Some("third"), Ok(Some("two")); "a key of another account")]
#[test_case("open", None, Ok(None); "no key at an open queue")]
#[test_case("open", Some("other"), Ok(None); "an unknown key at an open queue")]
#[test_case("open", Some("first"), Ok(None); "a key at an open queue")]
fn verify_key_selects_the_account(
    name: &'static str,
    text: Option<&'static str>,
    expected: Result<Option<&'static str>, Denial>,
) {
    let accounts = vec![
        account("one", &["first", "second"], 1.0),
        account("two", &["third"], 1.0),
    ];
    let config = config(Directory::new(accounts));
    let queue = config.queue(&name.into()).unwrap();
    let identified = config.identify(queue, text.map(key).as_ref());
    let account = identified.map(|caller| caller.account().cloned());
    assert_eq!(account, expected.map(|name| name.map(ByteString::from)));
}

#[test]
fn verify_no_key_is_needed_without_accounts() {
    let config = config(Directory::default());
    let queue = config.queue(&"closed".into()).unwrap();
    let identified = config.identify(queue, None);
    assert_eq!(identified, Ok(caller("closed", None)));
}

// Guards against queues that are open to all once the last account is removed.
#[test]
fn verify_key_is_needed_where_the_last_account_was_removed() {
    let config = config(Directory::new(Vec::new()));
    let queue = config.queue(&"closed".into()).unwrap();
    let identified = config.identify(queue, Some(&key("first")));
    assert_eq!(identified, Err(Denial::UnknownKey));
}

// All gateways must agree on the owner, also if the rows of the record change their order.
#[test]
fn verify_key_of_two_accounts_belongs_to_the_first_by_name() {
    let rows = [
        account("b", &["shared", "own"], 1.0),
        account("a", &["shared"], 1.0),
    ];
    for rows in [rows.to_vec(), rows.iter().rev().cloned().collect()] {
        let directory = Directory::new(rows);
        let name_of = |text| directory.authenticate(&key(text)).map(|a| a.name.clone());
        assert_eq!(name_of("shared"), Some("a".into()));
        assert_eq!(name_of("own"), Some("b".into()));
        let conflicts: Vec<_> = directory.conflicts().collect();
        let names = conflicts
            .iter()
            .map(|(owner, other)| (&*owner.name, &*other.name));
        assert_eq!(names.collect::<Vec<_>>(), [("a", "b")]);
    }
}

#[test]
fn verify_rows_of_one_account_are_joined() {
    let rows = vec![
        account("a", &["first"], 3.0),
        account("a", &["second"], 5.0),
    ];
    let directory = Directory::new(rows);
    assert_eq!(directory.iter().count(), 1);
    let found = directory.authenticate(&key("second")).unwrap();
    assert_eq!((&*found.name, found.weight), ("a", 3.0));
    assert_eq!(directory.conflicts().count(), 0);
}

#[test_case("closed", None, "closed", Some("two"), true; "a job of no account")]
#[test_case("closed", Some("one"), "closed", Some("one"), true; "a job of the account")]
#[test_case("closed", Some("one"), "other", Some("one"), true; "a job of the account in another queue")]
#[test_case("closed", Some("one"), "closed", Some("two"), false; "a job of another account")]
#[test_case("opened", Some("one"), "opened", None, true; "a job of a queue that was opened to all since")]
#[test_case("closed", Some("one"), "open", None, false; "a job of a closed queue, through an open one")]
fn verify_caller_owns_jobs_of_its_account(
    job_queue: &'static str,
    owner: Option<&'static str>,
    called_queue: &'static str,
    account: Option<&'static str>,
    expected: bool,
) {
    let job = job(job_queue, owner);
    assert_eq!(caller(called_queue, account).owns(&job), expected);
}

#[test_case(0; "no byte")]
#[test_case(100_000; "more bytes than a key has")]
fn verify_key_of_another_length_is_refused(length: usize) {
    assert!(Key::try_from(Bytes::from(vec![b'k'; length])).is_err());
}

#[test]
fn verify_debug_text_has_no_key() {
    let accounts = vec![account("one", &["first-secret", "second-secret"], 1.0)];
    let directory = Directory::new(accounts);
    let config = config(directory.clone());
    let texts = [
        format!("{:?}", key("first-secret")),
        format!("{:?}", directory.get(&"one".into())),
        format!("{directory:?}"),
        format!("{config:#?}"),
    ];
    for text in texts {
        assert!(!text.contains("secret"), "{text}");
    }
}
