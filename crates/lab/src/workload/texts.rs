//! Texts of the prompts.

/// A comic script, sent after [`STYLE_GUIDE`].
pub const COMIC_SCRIPT: &str = include_str!("../../texts/comic-script.txt");
/// The history of a weather station, sent after [`BULLETIN_GUIDE`].
pub const STATION_HISTORY: &str = include_str!("../../texts/station-history.txt");
/// Instructions for captions.
pub const STYLE_GUIDE: &str = "You write panel captions in Icelandic. Keep each caption under \
    twenty words, keep names as they stand in the script, and number the captions by page and \
    panel.\n\n";
/// Instructions for bulletins.
pub const BULLETIN_GUIDE: &str = "You summarise station histories as a seasonal bulletin: three \
    paragraphs, every figure with its year, nothing that the history does not say.\n\n";

/// Returns the prompt prefix that long requests share: of captions if `of_script`, else of bulletins.
#[must_use]
pub fn shared_prefix(of_script: bool) -> String {
    if of_script {
        format!("{STYLE_GUIDE}{COMIC_SCRIPT}")
    } else {
        format!("{BULLETIN_GUIDE}{STATION_HISTORY}")
    }
}

/// Questions that follow the shared prefix, if any.
pub const QUESTIONS: [&str; 6] = [
    "Caption every panel of the first page.",
    "Caption the storm pages.",
    "Does the lantern hang on the same side of the boat in every panel?",
    "Summarise the rains of the last ten years.",
    "Which years were the driest, and what was done?",
    "Write the bulletin for the coming season.",
];
