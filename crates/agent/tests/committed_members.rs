//! The list of control nodes that an agent of b3d3e00 saved is read and written by the present code.

use millford_agent::daemon::saved_members::SavedMembers;
use millford_api::state::ControlMember;

const FILE_NAME: &str = "control-members.json";

/// The file that the code of b3d3e00 wrote for [`members`].
const COMMITTED: &[u8] = include_bytes!("data/control-members.json");

fn members() -> Vec<ControlMember> {
    let member = |node_id, last: u8, zone: &str| ControlMember {
        node_id,
        internal_address: format!("10.0.0.{last}:7100"),
        operator_address: format!("10.0.0.{last}:7200"),
        zone: zone.to_owned(),
    };
    vec![
        member(0xfedc_ba98_7654_3210, 1, "zone-a"),
        member(2, 2, "zone-b"),
        member(u64::MAX, 3, ""),
    ]
}

#[test]
fn the_committed_file_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join(FILE_NAME), COMMITTED).expect("the file is copied");
    let saved = SavedMembers::in_folder(folder.path()).expect("the folder");
    assert_eq!(saved.load(), members());
}

#[test]
fn the_same_members_are_saved_as_the_committed_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let saved = SavedMembers::in_folder(folder.path()).expect("the folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(async { saved.save(members()) });
    // The write runs on a thread for blocking work; dropping the runtime waits for it.
    drop(runtime);
    let written = std::fs::read(folder.path().join(FILE_NAME)).expect("the file is there");
    if std::env::var_os("MILLFORD_WRITE_COMMITTED").is_some_and(|value| value == "1") {
        let path = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/tests/data/control-members.json"
        );
        std::fs::write(path, &written).expect("the file is written");
    }
    assert_eq!(
        String::from_utf8_lossy(&written),
        String::from_utf8_lossy(COMMITTED)
    );
}
