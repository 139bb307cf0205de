//! The auditor: hears what clients sent and got, what reached the endpoints and what they gave, and names each rule
//! that was broken.
//!
//! Kept invariant: everything is noted before the bytes that show it are written, and a verdict depends on the times
//! noted and not on the order of hearing. It is drawn up from all notes whenever it is asked for. One clock, its own.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::cluster::settings::{Bounds, Configuration, Kind};
use crate::scripted::lock;

/// A rule that can be seen from outside, by its name on the users' page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A request that may not be repeated ran more than once.
    Twice,
    /// It ran although its answer promised that it never would.
    Refused,
    /// A request ran that no client sent so.
    Unasked,
    /// A service ran a request that no configuration lets go there.
    Route,
    /// Too many were handed to a function's endpoints at once.
    Limit,
    /// Too many arrivals beyond the first.
    Budget,
    /// A client got what is not the endpoint's whole answer to its request.
    Mixed,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", format!("{self:?}").to_uppercase())
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Duration,
    /// What was seen.
    pub what: String,
}

/// A digest of a body.
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// A request as a client sends it, or as it reaches an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Its method.
    pub method: String,
    /// The host that it is for.
    pub host: String,
    /// Its path with the query.
    pub path: String,
    /// Its body's digest.
    pub body: u64,
}

/// Why an endpoint turned a request away without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotExecuted {
    /// It holds as many as it may.
    Full,
    /// Another endpoint was meant.
    Misdirected,
    /// No time is left.
    Late,
    /// Its connection ended before work began.
    Dropped,
}

/// A request's arrival at an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Duration,
    /// Whose life.
    pub endpoint: String,
    /// Of which service.
    pub service: String,
    /// What came.
    pub asked: Asked,
    /// It has not run, and why.
    pub away: Option<NotExecuted>,
    /// What was answered, if anything was.
    pub gave: Option<EndpointAnswer>,
}

/// What an endpoint answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// Status.
    pub status: u16,
    /// The seal on it.
    pub seal: String,
    /// The body's digest.
    pub body: u64,
}

/// What a client got for a try.
#[derive(Clone, Debug, Default)]
pub struct ClientAnswer {
    /// Status.
    pub status: u16,
    /// The id that stands on it.
    pub id: Option<String>,
    /// The seal on it.
    pub seal: Option<String>,
    /// The body's digest.
    pub body: u64,
    /// It has a `Content-Encoding`.
    pub encoded: bool,
}

impl ClientAnswer {
    /// What an answer says.
    pub fn of(answer: &crate::wire::Message) -> Self {
        ClientAnswer {
            status: answer.status(),
            id: answer.header("x-attempt-id").map(str::to_owned),
            seal: answer.header("x-endpoint-seal").map(str::to_owned),
            body: digest(&answer.body),
            encoded: answer.header("content-encoding").is_some(),
        }
    }
}

#[derive(Default)]
struct Request {
    sent: Option<(Duration, Asked)>,
    /// Made by a run that was itself a repeat.
    of_repeat: bool,
    arrivals: Vec<Arrival>,
    got: Vec<(Duration, ClientAnswer)>,
}

#[derive(Default)]
struct Book {
    configurations: Vec<Configuration>,
    requests: HashMap<Arc<str>, Request>,
    /// Bytes where no request was waiting, and what was no answer.
    stray: Vec<(Duration, String)>,
    /// Spans of unplanned trouble.
    trouble: Vec<Range<Duration>>,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Broken rules, the earliest first.
    pub broken: Vec<Broken>,
    /// Tries that clients and endpoints sent.
    pub sent: usize,
    /// Answered with a 2xx.
    pub served: usize,
    /// Answered with a promise.
    pub refused: usize,
    /// Answered otherwise.
    pub failed: usize,
    /// Not answered.
    pub unanswered: usize,
    /// Arrivals at endpoints.
    pub arrivals: usize,
    /// Of these, run.
    pub runs: usize,
    /// Of these, turned away since the endpoint was full.
    pub full: usize,
}

impl Verdict {
    /// The rules that were broken, each once.
    pub fn rules(&self) -> Vec<Rule> {
        let mut rules: Vec<Rule> = self.broken.iter().map(|b| b.rule).collect();
        rules.sort();
        rules.dedup();
        rules
    }

    /// Ends the test where a rule was broken.
    ///
    /// # Panics
    /// There.
    pub fn clean(&self) -> &Self {
        let first: Vec<String> = self.broken.iter().take(10).map(Broken::to_string).collect();
        assert!(self.broken.is_empty(), "{} rules broken:\n{}", self.broken.len(), first.join("\n"));
        self
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3?}: {}", self.rule, self.at, self.what)
    }
}

/// The auditor that all stand-ins of a run share, and its clock.
#[derive(Clone)]
pub struct Auditor(Arc<Shared>);

struct Shared {
    start: Instant,
    bounds: Bounds,
    book: Mutex<Book>,
}

/// A promise: the request has not run and never will.
pub fn promises(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl Auditor {
    /// One whose clock begins now.
    pub fn new(bounds: Bounds) -> Self {
        Auditor(Arc::new(Shared { start: Instant::now(), bounds, book: Mutex::default() }))
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        lock(&self.0.book)
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.0.start.elapsed()
    }

    /// The figures of the rules.
    pub fn bounds(&self) -> &Bounds {
        &self.0.bounds
    }

    /// An operator is about to send this, or it is in force from the start.
    pub fn configured(&self, configuration: &Configuration) {
        let mut book = self.book();
        if !book.configurations.contains(configuration) {
            book.configurations.push(configuration.clone());
        }
    }

    /// The newest configuration that was sent.
    pub fn newest(&self) -> Option<Configuration> {
        self.book().configurations.iter().max_by_key(|c| c.revision).cloned()
    }

    /// A try is about to be written; `of_repeat` where a run that was itself a repeat makes it.
    pub fn sent(&self, id: &Arc<str>, asked: Asked, of_repeat: bool) {
        let at = self.now();
        let mut book = self.book();
        let request = book.requests.entry(id.clone()).or_default();
        (request.sent, request.of_repeat) = (Some((at, asked)), of_repeat);
    }

    /// A request came to an endpoint; its place among the arrivals of its id.
    pub fn arrived(
        &self,
        id: &Arc<str>,
        endpoint: &str,
        service: &str,
        asked: Asked,
        away: Option<NotExecuted>,
    ) -> usize {
        let at = self.now();
        let mut book = self.book();
        let arrivals = &mut book.requests.entry(id.clone()).or_default().arrivals;
        let (endpoint, service) = (endpoint.to_owned(), service.to_owned());
        arrivals.push(Arrival { at, endpoint, service, asked, away, gave: None });
        arrivals.len() - 1
    }

    /// The endpoint is about to answer that arrival.
    pub fn gave(&self, id: &Arc<str>, arrival: usize, gave: EndpointAnswer) {
        let mut book = self.book();
        if let Some(arrival) = book.requests.get_mut(id).and_then(|r| r.arrivals.get_mut(arrival)) {
            arrival.gave = Some(gave);
        }
    }

    /// A client got an answer to that try.
    pub fn got(&self, id: &Arc<str>, got: ClientAnswer) {
        let at = self.now();
        self.book().requests.entry(id.clone()).or_default().got.push((at, got));
    }

    /// A client got bytes where it waited for none, or bytes that are no answer.
    pub fn stray(&self, what: String) {
        let at = self.now();
        self.book().stray.push((at, what));
    }

    /// Unplanned trouble in this span, with `contact_ms` after it: nothing there counts for the limit.
    pub fn trouble(&self, span: Range<Duration>) {
        let until = span.end + Duration::from_millis(self.0.bounds.contact_ms);
        self.book().trouble.push(span.start..until);
    }

    /// What has come to endpoints under an id.
    pub fn arrivals(&self, id: &str) -> Vec<Arrival> {
        self.book().requests.get(id).map(|r| r.arrivals.clone()).unwrap_or_default()
    }

    /// How many requests have run at a service's endpoints since then.
    pub fn runs_since(&self, service: &str, from: Duration) -> usize {
        let book = self.book();
        let arrivals = book.requests.values().flat_map(|r| &r.arrivals);
        arrivals.filter(|a| a.service == service && a.away.is_none() && a.at >= from).count()
    }

    /// Everything that has been noted so far, held against the rules.
    pub fn verdict(&self) -> Verdict {
        let book = self.book();
        let mut verdict = Verdict::default();
        for (at, what) in &book.stray {
            verdict.broken.push(Broken { rule: Rule::Mixed, at: *at, what: what.clone() });
        }
        for (id, request) in &book.requests {
            book.judge(id, request, &mut verdict);
        }
        book.limit(&self.0.bounds, &mut verdict);
        book.budget(&self.0.bounds, &mut verdict);
        verdict.broken.sort_by_key(|b| b.at);
        verdict
    }
}

impl Book {
    /// Whether a request may not be repeated: so it is by every configuration that has a route for it.
    fn mutating(&self, asked: &Asked) -> bool {
        let mut routes =
            self.configurations.iter().filter_map(|c| c.route(&asked.host, &asked.path)).peekable();
        routes.peek().is_some() && routes.all(|r| r.traffic_kind == Kind::Mutating)
    }

    fn judge(&self, id: &Arc<str>, request: &Request, verdict: &mut Verdict) {
        let mut broken = |rule, at, what| verdict.broken.push(Broken { rule, at, what });
        let runs: Vec<&Arrival> = request.arrivals.iter().filter(|a| a.away.is_none()).collect();
        let last = runs.iter().map(|r| r.at).max();
        for run in &runs {
            let to = format!("{id} ran at {} of {}", run.endpoint, run.service);
            match &request.sent {
                None => broken(Rule::Unasked, run.at, format!("{to} and nobody sent it")),
                Some((_, sent)) => {
                    let same = (&sent.method, &sent.path, sent.body)
                        == (&run.asked.method, &run.asked.path, run.asked.body);
                    if !same {
                        let (method, path) = (&run.asked.method, &run.asked.path);
                        let body = if sent.body == run.asked.body { "its body" } else { "another body" };
                        let was = format!("sent as {} {}", sent.method, sent.path);
                        broken(Rule::Unasked, run.at, format!("{to} as {method} {path} with {body}, {was}"));
                    }
                    let allowed = self
                        .configurations
                        .iter()
                        .any(|c| c.route(&sent.host, &sent.path).is_some_and(|r| r.service == run.service));
                    if !allowed {
                        broken(
                            Rule::Route,
                            run.at,
                            format!("{to}, where no configuration sends {}", sent.path),
                        );
                    }
                }
            }
        }
        let mutating = request.sent.as_ref().is_some_and(|(_, sent)| self.mutating(sent));
        if let Some(last) = last.filter(|_| mutating) {
            if runs.len() > 1 {
                let at: Vec<&str> = runs.iter().map(|r| r.endpoint.as_str()).collect();
                broken(Rule::Twice, last, format!("{id} ran {} times, at {}", runs.len(), at.join(", ")));
            }
            if let Some((at, got)) = request.got.iter().find(|(_, got)| promises(got.status)) {
                broken(Rule::Refused, *at, format!("{id} was answered {} and has run", got.status));
            }
        }
        for (at, got) in &request.got {
            if let Some(what) = mixed(request, id, got) {
                broken(Rule::Mixed, *at, format!("{id} was answered {} {what}", got.status));
            }
        }
        if request.got.len() > 1 {
            broken(Rule::Mixed, request.got[1].0, format!("{id} has {} answers", request.got.len()));
        }
        verdict.arrivals += request.arrivals.len();
        verdict.runs += runs.len();
        verdict.full += request.arrivals.iter().filter(|a| a.away == Some(NotExecuted::Full)).count();
        if request.sent.is_none() {
            return;
        }
        verdict.sent += 1;
        match request.got.first().map(|(_, got)| got.status) {
            Some(200..300) => verdict.served += 1,
            Some(status) if promises(status) => verdict.refused += 1,
            Some(_) => verdict.failed += 1,
            None => verdict.unanswered += 1,
        }
    }

    fn limit(&self, bounds: &Bounds, verdict: &mut Verdict) {
        let mut full: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
        for arrival in self.requests.values().flat_map(|r| &r.arrivals) {
            if arrival.away == Some(NotExecuted::Full)
                && !self.trouble.iter().any(|t| t.contains(&arrival.at))
            {
                full.entry(&arrival.service).or_default().push(arrival.at);
            }
        }
        let slack = bounds.reject_slack as usize;
        for (service, mut times) in full {
            times.sort();
            let within = |w: &&[Duration]| w[slack] - w[0] <= Duration::from_secs(5);
            if let Some(window) = times.windows(slack + 1).find(within) {
                let what = format!("{service} turned more than {slack} away from {:.3?} on", window[0]);
                verdict.broken.push(Broken { rule: Rule::Limit, at: window[slack], what });
            }
        }
    }

    fn budget(&self, bounds: &Bounds, verdict: &mut Verdict) {
        // By service: the requests for it and the arrivals beyond the first.
        let mut all: BTreeMap<&str, [Vec<Duration>; 2]> = BTreeMap::new();
        for request in self.requests.values() {
            let mut arrivals: Vec<&Arrival> = request.arrivals.iter().collect();
            arrivals.sort_by_key(|a| a.at);
            for repeat in arrivals.iter().skip(usize::from(!request.of_repeat)) {
                all.entry(&repeat.service).or_default()[1].push(repeat.at);
            }
            let Some((at, sent)) = &request.sent else { continue };
            let mut services: Vec<&str> = self
                .configurations
                .iter()
                .filter_map(|c| c.route(&sent.host, &sent.path).map(|r| r.service.as_str()))
                .collect();
            services.sort();
            services.dedup();
            services.into_iter().for_each(|s| all.entry(s).or_default()[0].push(*at));
        }
        let window = Duration::from_secs_f64(bounds.retry_window_s);
        for (service, [mut requests, mut repeats]) in all {
            requests.sort();
            repeats.sort();
            let count = |times: &[Duration], back: Duration, at: Duration| {
                let until = at.saturating_sub(back);
                let from = until.saturating_sub(window);
                // The first moment of all belongs to the first window.
                let before = if from.is_zero() { 0 } else { times.partition_point(|t| *t <= from) };
                times.partition_point(|t| *t <= until) - before
            };
            for at in &repeats {
                let came = count(&repeats, Duration::ZERO, *at);
                let asked =
                    [Duration::ZERO, window / 2, window].map(|b| count(&requests, b, *at)).into_iter().max();
                let asked = asked.unwrap_or_default();
                let allowed = bounds.retry_ratio * asked as f64 + bounds.retry_slack as f64;
                if came as f64 > allowed {
                    let what = format!(
                        "{service} got {came} beyond the first, {allowed:.1} allowed for {asked} requests"
                    );
                    verdict.broken.push(Broken { rule: Rule::Budget, at: *at, what });
                    break;
                }
            }
        }
    }
}

/// What is wrong with an answer.
fn mixed(request: &Request, id: &str, got: &ClientAnswer) -> Option<String> {
    if let Some(other) = got.id.as_deref().filter(|other| *other != id) {
        return Some(format!("with the answer to {other}"));
    }
    let gave: Vec<&EndpointAnswer> = request.arrivals.iter().filter_map(|a| a.gave.as_ref()).collect();
    let success = (200..300).contains(&got.status);
    let Some(seal) = &got.seal else {
        return success.then(|| "without a seal".to_owned());
    };
    let Some(gave) = gave.into_iter().find(|g| g.seal == *seal) else {
        return Some("with a seal that no endpoint put on an answer to it".to_owned());
    };
    if success && got.encoded {
        return Some("in a coding".to_owned());
    }
    if got.status != gave.status && (success || (200..300).contains(&gave.status)) {
        return Some(format!("where the endpoint gave {}", gave.status));
    }
    (success && got.body != gave.body).then(|| "with another body than the endpoint's".to_owned())
}
