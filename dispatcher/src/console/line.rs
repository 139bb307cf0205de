//! The syntax of console commands and answers: one line in; one line out, or several ending with `EOT`. Pure
//! functions.

use std::collections::BTreeMap;
use std::fmt::Write;

use millpost_core::ClassCounts;
use millpost_tier::frame_filter::FilterStats;

/// Maximum length of a command line, in bytes.
pub const MAX_LINE: usize = 512;
/// Maximum length of an endpoint name, in bytes.
const MAX_ID: usize = 256;
const PREFIX: &str = "edge_node";

/// A console command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Health,
    /// The figures.
    Counters,
    /// The versions that this dispatcher uses, and its view of the others.
    Standing,
    /// Cordons or uncordons an endpoint.
    Maintain {
        /// The name of the endpoint in the list.
        id: String,
        /// True to cordon, false to uncordon.
        out: bool,
    },
}

/// Parses a command line without its terminator.
///
/// # Errors
/// The reason why it is not a valid command.
pub fn call(line: &[u8]) -> Result<Call, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "the line is not text")?;
    let mut words = text.split_ascii_whitespace();
    let (word, id, more) = (words.next(), words.next(), words.next());
    let maintain = |out| match id {
        Some(id) if more.is_none() && id.len() <= MAX_ID => Ok(Call::Maintain { id: id.to_owned(), out }),
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

/// Formats the answer to a command without output.
pub fn answer(answer: Result<(), &str>) -> String {
    match answer {
        Ok(()) => "SUCCESS\n".to_owned(),
        Err(why) => format!("FAILURE {why}\n"),
    }
}

/// Counters since the start of the process, and gauges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Numbers of finished messages by outcome, by class name.
    pub classes: BTreeMap<String, ClassCounts>,
    /// Messages written completely to endpoints.
    pub calls: u64,
    /// Accepted messages without a final answer.
    pub inflight: usize,
    /// Endpoints in the list.
    pub listed: usize,
    /// Endpoints in the list to which nothing is sent now, because they are cordoned or avoided.
    pub down: usize,
    /// Figures of the sharing with other dispatchers, if enabled.
    pub shared: Option<Shared>,
    /// Set if this dispatcher refuses new messages: what most others report as outdated.
    pub shut_out: Option<&'static str>,
    /// Records and bytes written to the audit log, if enabled.
    pub audited: Option<(u64, u64)>,
    /// Successful and failed configuration reloads.
    pub reconfig_ok: u64,
    pub reconfig_failed: u64,
}

/// Figures of the sharing with other dispatchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shared {
    pub tier: millpost_tier::TierStats,
    /// Counts of received datagrams.
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
    /// Formats one figure per line, followed by `EOT`.
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
    fn parses_commands_and_rejects_others() {
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
    fn renders_figures_by_class_and_ends_with_eot() {
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
