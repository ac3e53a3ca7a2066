//! Generates the Rust types of the protocol files into `crates/api/src/generated`.
//!
//! The output is committed, so that a build does not need this generator. Run it from the workspace
//! root after each change to a file under `proto`: `cargo run -p millford-generate`.

use std::path::Path;

/// Protocol files, relative to the `proto` directory.
const PROTOCOL_FILES: [&str; 7] = [
    "millford/config.proto",
    "millford/state.proto",
    "millford/replication.proto",
    "millford/command.proto",
    "millford/internal.proto",
    "millford/local.proto",
    "millford/exchange.proto",
];

/// Packages whose types also have a JSON form.
const JSON_PACKAGES: [&str; 2] = [".millford.config", ".millford.state"];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(PROTOCOL_FILES, ["proto"])?;
    let mut config = prost_build::Config::new();
    for package in JSON_PACKAGES {
        config.message_attribute(
            package,
            "#[derive(serde::Serialize, serde::Deserialize)]\n#[serde(deny_unknown_fields, default)]",
        );
        config.enum_attribute(
            package,
            "#[derive(serde::Serialize, serde::Deserialize)]\n#[serde(rename_all = \"snake_case\")]",
        );
    }
    config.enum_attribute(".millford.state.StateValue.kind", "");
    config.message_attribute(
        ".millford.config.Document",
        "#[serde(from = \"crate::json::document::DocumentForm\", into = \"crate::json::document::DocumentForm\")]",
    );
    config.field_attribute(
        ".millford.config.Route.resume",
        "#[serde(with = \"crate::json::resume\")]",
    );
    config.field_attribute(
        ".millford.state.Backend.state",
        "#[serde(with = \"crate::json::backend_state\")]",
    );
    config.field_attribute(
        ".millford.state.Replica.state",
        "#[serde(with = \"crate::json::replica_state\")]",
    );
    config.field_attribute(
        ".millford.state.ConfigHead.digest",
        "#[serde(with = \"crate::json::hexadecimal\")]",
    );
    config.out_dir(Path::new("crates/api/src/generated"));
    // `Bytes` is shared by all subscribers of a feed, where `Vec<u8>` would be copied for each.
    config.bytes([".millford.internal.FeedMessage.packed_snapshot"]);
    config.btree_map(["."]);
    config.compile_fds(descriptors)?;
    Ok(())
}
