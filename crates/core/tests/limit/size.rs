use persimmongate_core::ids;
use persimmongate_core::journal::{Demand, Record};
use persimmongate_core::limit::WHOLE;
use persimmongate_wire::journal::{encode, encode_key};
use test_case::test_case;

/// Job shards of a fleet with 33 pools, each of which has used the limit of each account.
const SHARDS: ids::Shard = 33;
/// Most bytes that a record may take with its key and the length of the key, which bounds what a starting process reads.
const MAX_RECORD_BYTES: usize = 32;

fn size(record: &Record) -> usize {
    let value = encode(record).unwrap().unwrap();
    1 + encode_key(&record.key()).len() + value.len()
}

fn account(number: usize) -> ids::Account {
    format!("account-{number:04}").into()
}

// Each partition holds two counts of each account that has used its limit there, and the fleet's holds all.
#[test_case(20)]
#[test_case(120)]
#[test_case(1_200)]
fn verify_records_grow_in_proportion_to_accounts_and_shards(accounts: usize) {
    let mut fleet_bytes = 0;
    let mut shard_bytes = 0;
    for number in 0..accounts {
        for shard in 1..=SHARDS {
            let lent = size(&Record::Lent(shard, account(number), WHOLE * 1_000));
            let returned = size(&Record::Returned(shard, account(number), WHOLE * 1_000));
            assert!(lent <= MAX_RECORD_BYTES && returned <= MAX_RECORD_BYTES);
            fleet_bytes += lent + returned;
            if shard == SHARDS {
                shard_bytes += lent + returned;
            }
        }
    }
    let demands = (0..accounts.min(128)).map(|number| Demand {
        account: account(number),
        units: WHOLE / 2,
        lent: WHOLE * 1_000,
        first_need: WHOLE,
        used: WHOLE * 1_000,
    });
    let demand_bytes = size(&Record::Demand(SHARDS, demands.collect()));
    println!(
        "{accounts} accounts, {SHARDS} shards: partition of the fleet {fleet_bytes} B, of a shard {shard_bytes} B, \
         largest demand {demand_bytes} B"
    );
    assert!(demand_bytes < 16 * 1_024);
}
