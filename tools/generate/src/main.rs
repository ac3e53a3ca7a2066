//! Writes the Rust types of the protocol files into `crates/api/src/generated`.
//!
//! The result is committed, so that a build needs no generator. Run it from the workspace root
//! after a change to a file under `proto`: `cargo run -p millford-generate`.

use std::path::Path;

/// Protocol files, relative to the `proto` folder.
const PROTOCOL_FILES: [&str; 7] = [
    "millford/config.proto",
    "millford/state.proto",
    "millford/replication.proto",
    "millford/command.proto",
    "millford/internal.proto",
    "millford/local.proto",
    "millford/exchange.proto",
];

/// Packages whose types are also read from and written as JSON.
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
    // Shared by all subscribers of a feed instead of copied for each.
    config.bytes([".millford.internal.FeedMessage.packed_snapshot"]);
    config.btree_map(["."]);
    config.compile_fds(descriptors)?;
    Ok(())
}
