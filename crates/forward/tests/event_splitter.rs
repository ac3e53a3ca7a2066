//! Splitting of event streams into complete events, for any chunk boundaries.

use millford_forward::request::event_splitter::EventSplitter;
use quickcheck::QuickCheck;

fn events_of(chunks: &[&[u8]]) -> (Vec<(String, Option<u64>)>, String) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).expect("there is no limit");
        while let Some(event) = splitter.next_event() {
            let text = String::from_utf8(event.bytes.to_vec()).unwrap();
            events.push((text, event.id));
        }
    }
    let remainder = String::from_utf8(splitter.take_remainder().to_vec()).unwrap();
    (events, remainder)
}

#[test]
fn event_ids_are_parsed_after_any_other_field() {
    let text =
        b"version: 3\nid: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: no id\n\nid: x\n\nid: 9";
    let (events, remainder) = events_of(&[text]);
    let ids: Vec<Option<u64>> = events.iter().map(|(_, id)| *id).collect();
    assert_eq!(ids, [Some(7), Some(8), None, None]);
    assert_eq!(remainder, "id: 9");
}

#[test]
fn chunk_boundaries_do_not_change_the_events() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn events_match(ids: Vec<u16>, cuts: Vec<usize>) -> bool {
        let events: Vec<String> = ids
            .iter()
            .map(|id| format!("id: {id}\ndata: piece\n\n"))
            .collect();
        let text = events.concat();
        let bytes = text.as_bytes();
        let mut offsets: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
        offsets.extend([0, bytes.len()]);
        offsets.sort_unstable();
        let chunks: Vec<&[u8]> = offsets
            .windows(2)
            .map(|pair| &bytes[pair[0]..pair[1]])
            .collect();
        let (events, remainder) = events_of(&chunks);
        let found: Vec<Option<u64>> = events.iter().map(|(_, id)| *id).collect();
        let expected: Vec<Option<u64>> = ids.iter().map(|id| Some(u64::from(*id))).collect();
        let joined: String = events.iter().map(|(text, _)| text.as_str()).collect();
        found == expected && remainder.is_empty() && joined == text
    }
    QuickCheck::new().quickcheck(events_match as fn(Vec<u16>, Vec<usize>) -> bool);
}
