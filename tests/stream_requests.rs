//! The requests for the coordinator's event stream, against a simulated coordinator on a virtual clock.

use walnuthatch::protocol::stream_requests::*;
use walnuthatch::routing::interface::Micros;

/// The page's limit: a change counts as known this long after the coordinator has it.
const KNOWN_AFTER: Micros = 7_000_000;
/// A change takes effect within this time of the coordinator being reachable.
const UPDATE_LIMIT: Micros = 6_000_000;

/// A coordinator that answers each request after a delay, unless the request came while it was unreachable.
struct Coordinator {
    requests: StreamRequests,
    /// The requests that will be answered, and when.
    answers: Vec<(Micros, RequestId)>,
    open: usize,
    sent: usize,
}

impl Coordinator {
    fn new() -> Self {
        Coordinator { requests: StreamRequests::new(0), answers: Vec::new(), open: 0, sent: 0 }
    }

    /// Runs until a stream is followed, and returns when that was.
    fn run_until_followed(&mut self, delay: Micros, reachable_from: Micros) -> Micros {
        loop {
            let timeout = self.requests.next_timeout();
            let answer = self.answers.iter().copied().min().filter(|a| a.0 <= timeout);
            let now = answer.map_or(timeout, |a| a.0);
            match answer {
                Some((_, id)) => {
                    self.answers.retain(|a| a.1 != id);
                    self.requests.handle(now, id, RequestEvent::Delivered);
                }
                None => self.requests.on_timeout(now),
            }
            for output in self.requests.take_outputs() {
                match output {
                    RequestOutput::Send(id) => {
                        (self.open, self.sent) = (self.open + 1, self.sent + 1);
                        assert!(self.open <= MAX_REQUESTS);
                        if now >= reachable_from {
                            self.answers.push((now + delay, id));
                        }
                    }
                    RequestOutput::Abandon(id) => {
                        self.open -= 1;
                        self.answers.retain(|a| a.1 != id);
                    }
                    RequestOutput::Follow(_) => {
                        assert_eq!(self.open, 1, "the others are abandoned");
                        return now;
                    }
                    RequestOutput::Silent(_) => {}
                }
            }
            assert!(now < 60_000_000, "no answer is ever read");
        }
    }
}

/// Sends the request that is due, the only output, and returns it.
fn send(requests: &mut StreamRequests, now: Micros) -> RequestId {
    requests.on_timeout(now);
    let outputs = requests.take_outputs();
    let [RequestOutput::Send(id)] = outputs[..] else { panic!("{outputs:?}") };
    id
}

/// Guards against review case 3: no answer that took longer than the limit for one request was ever read.
#[test]
fn the_answer_to_the_first_request_is_read_however_slow_within_the_limit() {
    for delay in (0..=KNOWN_AFTER).step_by(50_000) {
        let mut coordinator = Coordinator::new();
        assert_eq!(coordinator.run_until_followed(delay, 0), delay);
        assert!(coordinator.sent as Micros <= delay / REQUEST_INTERVAL + 1);
    }
}

#[test]
fn a_coordinator_that_becomes_reachable_is_followed_in_time_whatever_is_open() {
    for reachable_from in (0..20_000_000).step_by(130_000) {
        // Beside the interval the limit leaves this much for the answer.
        let delay = UPDATE_LIMIT - REQUEST_INTERVAL;
        let followed_at = Coordinator::new().run_until_followed(delay, reachable_from);
        assert!(followed_at - reachable_from <= UPDATE_LIMIT, "{reachable_from}: {followed_at}");
    }
}

#[test]
fn a_silent_stream_is_kept_beside_new_requests_and_followed_again_when_it_delivers() {
    let mut requests = StreamRequests::new(0);
    let stream = send(&mut requests, 0);
    requests.handle(0, stream, RequestEvent::Delivered);
    assert_eq!(requests.take_outputs(), [RequestOutput::Follow(stream)]);
    assert_eq!(requests.next_timeout(), SILENCE_LIMIT);
    requests.on_timeout(SILENCE_LIMIT);
    let outputs = requests.take_outputs();
    let [RequestOutput::Silent(silent), RequestOutput::Send(sent)] = outputs[..] else {
        panic!("{outputs:?}")
    };
    assert_eq!(silent, stream);
    let later = SILENCE_LIMIT + 1_000_000;
    assert!(requests.handle(later, stream, RequestEvent::Delivered));
    assert_eq!(requests.take_outputs(), [RequestOutput::Abandon(sent), RequestOutput::Follow(stream)]);
    assert_eq!(requests.next_timeout(), later + SILENCE_LIMIT);
    assert!(!requests.handle(later, sent, RequestEvent::Delivered), "an abandoned request does not count");
}

#[test]
fn requests_that_fail_at_once_are_repeated_at_the_minimum_interval() {
    let mut requests = StreamRequests::new(0);
    for n in 0..10 {
        let now = requests.next_timeout();
        assert_eq!(now, n * MIN_REQUEST_INTERVAL);
        let request = send(&mut requests, now);
        requests.handle(now, request, RequestEvent::Ended);
    }
    assert!(!requests.is_following());
}
