//! Compares what the present code says with a file that was written by the code of b3d3e00.

use std::path::Path;

/// Checks that `lines` are those of the file, and says which ones differ.
///
/// With `MILLFORD_WRITE_COMMITTED=1` in the environment the file is written instead and the test
/// fails: for a list that grows on purpose. A line that a program or a user relies on never changes.
#[track_caller]
pub(crate) fn assert_committed(file: &str, lines: &str) {
    let path = Path::new(file);
    if std::env::var_os("MILLFORD_WRITE_COMMITTED").is_some_and(|value| value == "1") {
        let folder = path.parent().expect("a folder");
        std::fs::create_dir_all(folder).expect("the folder is made");
        std::fs::write(path, lines).expect("the file is written");
        panic!("{file} is written: run again without MILLFORD_WRITE_COMMITTED");
    }
    let committed = match std::fs::read_to_string(path) {
        Ok(committed) => committed,
        Err(error) => panic!("{file}: {error}"),
    };
    if committed == lines {
        return;
    }
    let lost: Vec<&str> = committed
        .lines()
        .filter(|line| !lines.lines().any(|l| l == *line))
        .collect();
    let new: Vec<&str> = lines
        .lines()
        .filter(|line| !committed.lines().any(|l| l == *line))
        .collect();
    panic!(
        "{file} differs (lines in another order if none follow).\nlost: {lost:#?}\nnew: {new:#?}"
    );
}
