//! What exchanges say.

use super::*;

impl UpstreamConnections {
    /// Asks an exchange for a report.
    pub fn probe(&mut self, now: Micros, office: ExchangeId) {
        let Some(ConnectionState::Up(conn)) = self.links.get(&office).map(|l| l.connection) else {
            return self.out.push(UpstreamOutput::ProbeFailed(office));
        };
        let sid = Sid(self.next_probe);
        self.next_probe += 1;
        self.probes.insert(sid, office);
        let message = Message { code: Some(1), ..Message::new(Kind::Probe, Some(sid)) };
        self.out.push(UpstreamOutput::Send { conn, message, set_up: None });
        self.out.push(UpstreamOutput::SetTimer(now + PROBE_WAIT, UpstreamTimer::Probe(sid)));
    }

    /// A message from an exchange.
    pub fn message(&mut self, now: Micros, conn: ConnId, message: Message) {
        let Some(&office) = self.conns.get(&conn) else { return };
        let load = message.load_report();
        if let Some(link) = self.links.get_mut(&office) {
            link.settled = true;
            if link.came_up.is_none_or(|at| now - at >= SETTLING) {
                link.retry = RETRY.0;
            }
            let gap = link.heard.map_or(link.mean_interarrival, |at| (now - at).min(SILENT.2) as f64);
            link.mean_interarrival += GAP_SMOOTH * (gap - link.mean_interarrival);
            (link.heard, link.tested) = (Some(now), None);
            link.leases.heard(now);
            if message.kind != Kind::Status {
                link.consecutive_timeouts = 0;
            }
        }
        // What comes on another exchange's connection, or for an attempt that is over, is not this leg's.
        let leg = message.sid.and_then(|s| self.legs.get_mut(&s)).filter(|l| l.office == office);
        match (message.kind, leg) {
            (Kind::Ready, Some(leg)) => {
                if matches!(leg.stage, Stage::Sent(_)) {
                    let (call, attempt) = (leg.call, leg.attempt);
                    if let Some(link) = self.links.get_mut(&office) {
                        link.last_set_up_time = now - leg.began;
                        leg.stage = Stage::Standing(link.leases.current());
                    }
                    self.watch_leases(office);
                    self.group(office, load);
                    self.out.push(UpstreamOutput::Answered(call, attempt, message.text));
                }
            }
            (Kind::Ready, None) => {
                // Guards against circuits that stay taken: the set-up was given up while its answer was on
                // the way.
                self.counts.late_answers += 1;
                if let Some(sid) = message.sid {
                    let message = Message::close(sid, cause::NORMAL);
                    self.out.push(UpstreamOutput::Send { conn, message, set_up: None });
                }
            }
            (Kind::Close, Some(leg)) => {
                let stood = matches!(leg.stage, Stage::Standing(_));
                if let (Stage::Standing(generation), Some(link)) = (leg.stage, self.links.get_mut(&office)) {
                    link.leases.confirm(generation);
                }
                let how = closing(stood, message.code, message.field("note").as_deref());
                let call = leg.call;
                self.end_leg(call, how, load);
            }
            (Kind::Status, _) => self.group(office, load),
            (Kind::Probed, _) => match message.sid.and_then(|s| self.probes.remove(&s)) {
                Some(office) if message.code == Some(0) => self.out.push(UpstreamOutput::ProbeFailed(office)),
                _ => self.group(office, load),
            },
            (Kind::Close, None) => {
                self.counts.unknown_call += 1;
                if let Some(sid) = message.sid.filter(|&s| self.previous_run.may_contain(now, s)) {
                    let code = message.code.unwrap_or(cause::NORMAL);
                    self.out.push(UpstreamOutput::PreviousRunReleased(sid, code));
                }
                self.group(office, load);
            }
            (Kind::Open | Kind::Probe, _) => self.counts.unknown_call += 1,
            (Kind::Trying | Kind::Closed, _) => {}
        }
    }

    pub(super) fn group(&mut self, office: ExchangeId, load: LoadReport) {
        if load != LoadReport::default() {
            self.out.push(UpstreamOutput::GroupReport(office, load));
        }
    }
}

/// What a release from an exchange means, before and after the answer.
fn closing(stood: bool, code: Option<u16>, note: Option<&str>) -> (Ending, Cause) {
    let why = match note {
        Some("no_path") => Cause::NoCircuit,
        Some("sent_back") => Cause::TurnedBack,
        Some("end_queue_long") => Cause::FarProcessorFull,
        Some("queue_long") => Cause::ProcessorFull(None),
        Some("line_taken") => Cause::LinesBusy,
        _ => Cause::None,
    };
    let ending = match (stood, code) {
        (true, Some(cause::NORMAL)) => Ending::Completed,
        (true, _) | (false, Some(cause::TEMPORARY_FAILURE)) => Ending::Reset,
        (false, Some(cause::NO_CIRCUIT)) => Ending::Full,
        (false, Some(cause::TIMER_EXPIRY)) => Ending::NotSent,
        (false, _) => Ending::Fault,
    };
    (ending, why)
}
