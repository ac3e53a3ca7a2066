//! Checks that every message is encoded as in commit b3d3e00, and that every field has the same number and type.
//!
//! Messages and fields may be renamed, since the encoding has only their numbers. The samples are built with the
//! present names; the committed files were written by the code of b3d3e00 and have the names of that commit.

#[path = "../support/committed.rs"]
mod committed;

mod command;
mod config;
mod exchange;
mod internal;
mod local;
mod replication;
mod sample;
mod schema;
mod state;

use committed::assert_committed;
use sample::Samples;

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/wire");

fn assert_bytes(file: &str, add: fn(&mut Samples)) {
    let mut samples = Samples::default();
    add(&mut samples);
    assert_committed(&format!("{DATA}/{file}"), samples.lines());
}

#[test]
fn config_messages_encode_as_committed() {
    assert_bytes("config.hex", config::add);
}

#[test]
fn state_messages_encode_as_committed() {
    assert_bytes("state.hex", state::add);
}

#[test]
fn replication_messages_encode_as_committed() {
    assert_bytes("replication.hex", replication::add);
}

#[test]
fn command_messages_encode_as_committed() {
    assert_bytes("command.hex", command::add);
}

#[test]
fn internal_messages_encode_as_committed() {
    assert_bytes("internal.hex", internal::add);
}

#[test]
fn local_messages_encode_as_committed() {
    assert_bytes("local.hex", local::add);
}

#[test]
fn exchange_messages_encode_as_committed() {
    assert_bytes("exchange.hex", exchange::add);
}

#[test]
fn every_message_in_proto_has_a_sample() {
    let mut samples = Samples::default();
    for add in [
        config::add,
        state::add,
        replication::add,
        command::add,
        internal::add,
        local::add,
        exchange::add,
    ] {
        add(&mut samples);
    }
    let sampled: std::collections::BTreeSet<String> = samples
        .lines()
        .lines()
        .map(|line| {
            let name = line.split(' ').next().expect("a name");
            name.split('.').take(3).collect::<Vec<&str>>().join(".")
        })
        .collect();
    let declared = schema::describe()
        .lines()
        .filter(|line| line.ends_with(" message"))
        .count();
    assert_eq!(sampled.len(), declared, "sampled: {sampled:#?}");
}

#[test]
fn fields_have_the_committed_numbers_and_types() {
    assert_committed(&format!("{DATA}/schema.txt"), &schema::describe());
}
