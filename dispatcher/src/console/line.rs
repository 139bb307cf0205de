//! The form of the console's calls and answers: one line in, one line out, or the figures and a line after them. Pure
//! functions.

use std::collections::BTreeMap;
use std::fmt::Write;

use millpost_core::ClassCounts;
use millpost_tier::frame_filter::FilterStats;

/// The longest line that is read.
pub const LONGEST: usize = 512;
/// The longest name of an endpoint that can be spoken of.
const LONGEST_ID: usize = 256;
const PREFIX: &str = "edge_node";

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Health,
    /// The figures.
    Counters,
    /// What it acts on, and how it sees the others.
    Standing,
    /// An endpoint is to be left out, or used again.
    Maintain {
        /// The endpoint's name in the list.
        id: String,
        /// Left out.
        out: bool,
    },
}

/// A call, from its line without the end; else what is wrong with it.
pub fn call(line: &[u8]) -> Result<Call, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "the line is not text")?;
    let mut words = text.split_ascii_whitespace();
    let (word, id, more) = (words.next(), words.next(), words.next());
    let maintain = |out| match id {
        Some(id) if more.is_none() && id.len() <= LONGEST_ID => Ok(Call::Maintain { id: id.to_owned(), out }),
        Some(_) if more.is_none() => Err("the id is too long"),
        _ => Err("one id is wanted"),
    };
    match word {
        Some("health") if id.is_none() => Ok(Call::Health),
        Some("counters") if id.is_none() => Ok(Call::Counters),
        Some("standing") if id.is_none() => Ok(Call::Standing),
        Some("cordon") => maintain(true),
        Some("uncordon") => maintain(false),
        Some("health" | "counters" | "standing") => Err("nothing follows this call"),
        Some(_) => Err("the calls are health, counters, standing, cordon ID, uncordon ID"),
        None => Err("no call"),
    }
}

/// A yes, or a no and why.
pub fn answer(answer: Result<(), &str>) -> String {
    match answer {
        Ok(()) => "SUCCESS\n".to_owned(),
        Err(why) => format!("FAILURE {why}\n"),
    }
}

/// What a process has counted since it began, and what it holds now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Ends of messages, by the names of the classes.
    pub classes: BTreeMap<String, ClassCounts>,
    /// Messages written whole to endpoints.
    pub calls: u64,
    /// Messages taken on that have no final answer yet.
    pub inflight: usize,
    /// Endpoints in the list.
    pub listed: usize,
    /// Those of them that nothing is sent to now, by hand or by choice.
    pub down: usize,
    /// What is shared with other dispatchers, where anything is.
    pub shared: Option<Shared>,
    /// It takes no new messages: most find it behind on this.
    pub shut_out: Option<&'static str>,
    /// Records and bytes of the audit's log, where one is written.
    pub audited: Option<(u64, u64)>,
    /// Files taken at SIGHUP, and turned down.
    pub reconfig_ok: u64,
    pub reconfig_failed: u64,
}

/// What is shared with other dispatchers, in figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shared {
    pub tier: millpost_tier::TierStats,
    /// Datagrams that came.
    pub sifted: FilterStats,
}

impl Shared {
    fn lines(&self, mut line: impl FnMut(&str, u64)) {
        let (tier, sifted) = (&self.tier, &self.sifted);
        for (name, figure) in [
            ("alive", tier.alive as u64),
            ("suspected", tier.suspected as u64),
            ("silent", tier.silent as u64),
            ("gone", tier.gone as u64),
            ("hears_nobody", tier.hears_nobody.into()),
            ("at_fault", tier.at_fault.into()),
            ("lent_permille", tier.lent),
            ("borrowed_permille", tier.borrowed),
            ("hearsay", tier.hearsay as u64),
            ("oldest_ms", tier.oldest_ms),
            ("calls", tier.calls),
            ("calls_untold_at_most", tier.untold),
            ("sent", tier.sent),
            ("sent_bytes", tier.bytes),
            ("read", sifted.read),
            ("unknown", sifted.unknown),
            ("nonsense", sifted.malformed),
            ("other_version", sifted.version),
            ("roll_sent", tier.roll_sent),
            ("roll_bytes", tier.roll_bytes),
            ("roll_behind", tier.behind as u64),
            ("flood", sifted.rate_limited),
        ] {
            line(&format!("tier_{name}"), figure);
        }
    }
}

impl Figures {
    /// One figure a line, then a line that ends them.
    pub fn render(&self) -> String {
        let mut text = "SUCCESS\n".to_owned();
        let mut line = |name: &str, figure: u64| {
            let _ = writeln!(text, "{PREFIX}.{name}={figure}");
        };
        for (name, of) in [
            ("success", (|count| count.delivered) as fn(&ClassCounts) -> u64),
            ("busy", |count| count.refused),
            ("failure", |count| count.failed),
        ] {
            self.classes.iter().for_each(|(class, count)| line(&format!("{name}.{class}"), of(count)));
        }
        line("backend_calls", self.calls);
        line("inflight", self.inflight as u64);
        line("hosts_listed", self.listed as u64);
        line("hosts_down", self.down as u64);
        line("reconfig_ok", self.reconfig_ok);
        line("reconfig_failed", self.reconfig_failed);
        if let Some((records, bytes)) = self.audited {
            line("audit_records", records);
            line("audit_bytes", bytes);
        }
        if let Some(shared) = &self.shared {
            line("tier_shut_out", self.shut_out.is_some().into());
            shared.lines(line);
        }
        text.push_str("EOT\n");
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_told_apart_and_what_is_none_is_refused() {
        let maintain = |id: &str, out| Ok(Call::Maintain { id: id.to_owned(), out });
        for (line, expected) in [
            (&b"health"[..], Ok(Call::Health)),
            (b" counters \r", Ok(Call::Counters)),
            (b"cordon s-5be2a07c", maintain("s-5be2a07c", true)),
            (b"uncordon s-1\r", maintain("s-1", false)),
        ] {
            assert_eq!(call(line), expected);
        }
        let long = [b"cordon ".to_vec(), vec![b'x'; 300]].concat();
        for line in
            [&b""[..], b" ", b"Health", b"cordon", b"cordon a b", b"health now", b"\xff\xfe", b"help", &long]
        {
            assert!(call(line).is_err(), "{line:?}");
        }
        assert!(answer(call(b"cordon").map(drop)).starts_with("FAILURE "));
    }

    #[test]
    fn figures_are_named_by_class_and_ended() {
        let count = ClassCounts { delivered: 812, refused: 3, failed: 1 };
        let classes = [("loan-report".to_owned(), count)].into();
        let text =
            Figures { classes, calls: 830, inflight: 14, listed: 30, down: 2, ..Figures::default() }.render();
        let lines: Vec<&str> = text.lines().collect();
        for line in [
            "edge_node.success.loan-report=812",
            "edge_node.busy.loan-report=3",
            "edge_node.failure.loan-report=1",
            "edge_node.backend_calls=830",
            "edge_node.inflight=14",
            "edge_node.hosts_listed=30",
            "edge_node.hosts_down=2",
            "edge_node.reconfig_ok=0",
        ] {
            assert!(lines.contains(&line), "{line}");
        }
        assert_eq!(lines.last(), Some(&"EOT"));
    }
}
