//! Compares output of the present code with a file that the code of commit b3d3e00 wrote.

use std::path::Path;

/// Asserts that `lines` are the lines of the file, and prints the lines that differ.
///
/// With `MILLFORD_WRITE_COMMITTED=1` in the environment, writes the file instead and then fails. This
/// is for lists that grow on purpose; a line that a program or a user relies on must never change.
#[track_caller]
pub(crate) fn assert_committed(file: &str, lines: &str) {
    let path = Path::new(file);
    if std::env::var_os("MILLFORD_WRITE_COMMITTED").is_some_and(|value| value == "1") {
        let folder = path.parent().expect("a folder");
        std::fs::create_dir_all(folder).expect("the folder is made");
        std::fs::write(path, lines).expect("the file is written");
        panic!("{file} was written; run the test again without MILLFORD_WRITE_COMMITTED");
    }
    let committed = match std::fs::read_to_string(path) {
        Ok(committed) => committed,
        Err(error) => panic!("{file}: {error}"),
    };
    if committed == lines {
        return;
    }
    let removed: Vec<&str> = committed
        .lines()
        .filter(|line| !lines.lines().any(|l| l == *line))
        .collect();
    let added: Vec<&str> = lines
        .lines()
        .filter(|line| !committed.lines().any(|l| l == *line))
        .collect();
    panic!(
        "{file} differs (only in the order of lines if none are listed).\nremoved: {removed:#?}\nadded: {added:#?}"
    );
}
