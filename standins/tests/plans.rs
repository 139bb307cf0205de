//! Plans that can't be played are refused with file, line and reason.

use millpost_standins::plan::{Error, Plan, Target, What};

const GOOD: &str = "\
name = \"a plan\"
seed = 7
seconds = 5.0

[dispatchers]
count = 2

[load]
per_second = 100.0

[partners]
destinations = 4
endpoints = 2

[[fault]]
at = 1.0
for = 2.0
where = \"destination 3\"
what = \"refuse\"

[[fault]]
at = 2.0
for = 0.5
where = \"dispatcher 1\"
what = \"kill\"
";

fn why(text: &str) -> String {
    Plan::parse("my.toml", text).expect_err("it can't be played").to_string()
}

#[test]
fn a_good_plan_is_read() {
    let plan = Plan::parse("my.toml", GOOD).expect("a plan");
    assert_eq!((plan.seed, plan.dispatchers.count, plan.partners.destinations), (7, 2, 4));
    let faults: Vec<_> = plan.faults.iter().map(|f| (f.get_ref().target, f.get_ref().what)).collect();
    assert_eq!(faults, [(Target::Destination(3), What::Refuse), (Target::Dispatcher(1), What::Kill)]);
    assert_eq!(plan.service.slots, 32, "what is not named stands as it was");
}

#[test]
fn what_is_wrong_is_told_with_file_line_and_reason() {
    let changed = |from: &str, to: &str| why(&GOOD.replacen(from, to, 1));
    let expected = [
        (changed("seed = 7", "seed = seven"), "my.toml:2: "),
        (changed("seed = 7", "sead = 7"), "my.toml:2: unknown field `sead`"),
        (changed("seconds = 5.0", "seconds = -1.0"), "my.toml:3: seconds must be"),
        (changed("count = 2", "count = 99"), "my.toml:6: dispatchers.count must be from 1 to 16"),
        (changed("per_second = 100.0", "per_second = 0.0"), "my.toml:9: load.per_second must be"),
        (changed("destinations = 4", "destinations = 0"), "my.toml:12: partners.destinations must be"),
        (changed("destinations = 4", "destinations = 4000"), "my.toml:12: 16000 listeners are too many"),
        (changed("\"destination 3\"", "\"destination 4\""), "my.toml:15: there is no destination 4"),
        (changed("\"destination 3\"", "\"planet 3\""), "my.toml:18: `planet 3` is none of"),
        (changed("\"refuse\"", "\"explode\""), "my.toml:19: unknown variant `explode`"),
        (changed("\"refuse\"", "\"kill\""), "my.toml:15: Kill does not happen to destination 3"),
        (changed("at = 2.0", "at = 9.0"), "my.toml:21: a fault at 9 is not within the 5 seconds"),
        (changed("for = 0.5", "for = 0.0"), "my.toml:21: a fault lasts longer than 0"),
        (changed("\"dispatcher 1\"", "\"dispatcher 2\""), "my.toml:21: there is no dispatcher 2"),
        (changed("what = \"kill\"", "what = \"kill\"\nshare = 2.0"), "my.toml:21: share = 2"),
        (changed("\"refuse\"", "\"cut\""), "my.toml:15: Cut does not happen"),
    ];
    for (told, start) in expected {
        assert!(told.starts_with(start), "{told:?} should start with {start:?}");
    }
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let told = Plan::read(std::path::Path::new("/nowhere/plan.toml"));
    assert!(matches!(&told, Err(Error::Unreadable(file, _)) if file == "/nowhere/plan.toml"));
}
