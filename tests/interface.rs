//! Checks the text of interface types that operators read.

use violetseam::interface::Verdict;

/// Log lines about votes and verdicts and the status text on the control socket use these words.
#[test]
fn verdicts_are_printed_with_the_words_of_the_log_and_the_status_text() {
    let words = [
        (Verdict::Promote, "On"),
        (Verdict::Hold, "Hold"),
        (Verdict::RollBack, "Back"),
        (Verdict::Withdraw, "Withdraw"),
    ];
    for (verdict, word) in words {
        assert_eq!(verdict.to_string(), word);
    }
}
