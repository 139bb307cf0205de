//! Keeps the decision code short enough to review as a whole: a limit on its lines and their width.

#[test]
fn policy_size_and_width() {
    let files = [include_str!("../src/control.rs"), include_str!("../src/control/learnt.rs")];
    let count_non_blank = |text: &str| text.lines().filter(|line| !line.trim().is_empty()).count();
    let lines: usize = files.iter().map(|text| count_non_blank(text)).sum();
    assert!(lines <= 1200, "{lines} non-blank lines, 1200 are allowed");
    for text in files {
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "line {} is wider than 110 columns", number + 1);
        }
        assert!(
            text.lines().take(3).any(|line| line.contains("src/api.rs")),
            "the interface file must be named in the first three lines"
        );
    }
}
