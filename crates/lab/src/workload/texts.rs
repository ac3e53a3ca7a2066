//! Long texts that the prompts share.

/// A comic script, sent under a standing style guide.
pub const COMIC_SCRIPT: &str = include_str!("../../texts/comic-script.txt");
/// The history of a weather station.
pub const STATION_HISTORY: &str = include_str!("../../texts/station-history.txt");
/// Style guide of the captions.
pub const STYLE_GUIDE: &str = "You write panel captions in Icelandic. Keep each caption under \
    twenty words, keep names as they stand in the script, and number the captions by page and \
    panel.\n\n";
/// Instructions of the bulletins.
pub const BULLETIN_GUIDE: &str = "You summarise station histories as a seasonal bulletin: three \
    paragraphs, every figure with its year, nothing that the history does not say.\n\n";

/// The shared prefix of one kind of long request.
#[must_use]
pub fn shared_prefix(of_script: bool) -> String {
    if of_script {
        format!("{STYLE_GUIDE}{COMIC_SCRIPT}")
    } else {
        format!("{BULLETIN_GUIDE}{STATION_HISTORY}")
    }
}

/// Questions that follow the shared text.
pub const QUESTIONS: [&str; 6] = [
    "Caption every panel of the first page.",
    "Caption the storm pages.",
    "Does the lantern hang on the same side of the boat in every panel?",
    "Summarise the rains of the last ten years.",
    "Which years were the driest, and what was done?",
    "Write the bulletin for the coming season.",
];
