//! Types of the interface whose text operators read.

use violetseam::interface::Verdict;

/// The log lines of votes and verdicts and the status text on the control socket have these words.
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
