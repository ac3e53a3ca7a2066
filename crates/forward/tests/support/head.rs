//! Parses the head of an HTTP/1.1 message.

/// Returns the value of the first header with this name.
pub(crate) fn header_of(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().skip(1);
    lines.find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
