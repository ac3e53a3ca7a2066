//! Compatibility of the saved list of control members: the current code reads and writes the file
//! format of commit b3d3e00.

use millford_agent::daemon::saved_members::SavedMembers;
use millford_api::state::ControlMember;

const FILE_NAME: &str = "control-members.json";

/// The file that the code of commit b3d3e00 wrote for [`members`].
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
    let folder = tempfile::tempdir().expect("create a temporary folder");
    std::fs::write(folder.path().join(FILE_NAME), COMMITTED).expect("copy the committed file");
    let saved = SavedMembers::in_folder(folder.path()).expect("open the folder");
    assert_eq!(saved.load(), members());
}

#[test]
fn saving_the_same_members_writes_the_committed_file() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let saved = SavedMembers::in_folder(folder.path()).expect("open the folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("build a runtime");
    runtime.block_on(async { saved.save(members()) });
    // The file is written on a blocking thread; dropping the runtime waits for it.
    drop(runtime);
    let written = std::fs::read(folder.path().join(FILE_NAME)).expect("read the saved file");
    if std::env::var_os("MILLFORD_WRITE_COMMITTED").is_some_and(|value| value == "1") {
        let path = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/tests/data/control-members.json"
        );
        std::fs::write(path, &written).expect("write the committed file");
    }
    assert_eq!(
        String::from_utf8_lossy(&written),
        String::from_utf8_lossy(COMMITTED)
    );
}
