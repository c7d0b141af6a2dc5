//! The event loop without sockets: the test passes in each message, and time is a parameter.
#![allow(dead_code)]

use super::config;
use super::json_lines::{list_update, member, open_message, sid};
use async_lock::Semaphore;
use serde_json::{json, Value};
use std::sync::Arc;
use walnuthatch::program::config::parse;
use walnuthatch::program::event_loop::{EventLoop, TransportCommand};
use walnuthatch::protocol::json_lines::Message;
use walnuthatch::protocol::run_id::RunId;
use walnuthatch::protocol::ConnId;
use walnuthatch::routing::interface::Micros;
use walnuthatch::transport::outbox::Outbox;
use walnuthatch::transport::{ConnEvent, Inbound, Side};

/// The first connection of either side.
pub const CONN: ConnId = ConnId(0);

/// An event loop with one exchange and one caller, who has an established call with the sid 0.
pub struct EventLoopWithCaller {
    pub event_loop: EventLoop,
    pub to_exchange: Outbox,
}

impl EventLoopWithCaller {
    pub fn start(now: Micros, status: &str) -> EventLoopWithCaller {
        let exchange = member("s-1", "127.0.0.1:9".parse().unwrap(), 1, "up");
        let known = json!({"index": 3, "updates": [list_update(3, true, &[exchange])]});
        let config = parse(&config(json!({"known": known}))).unwrap();
        let mut event_loop = EventLoop::resume(&config, RunId(1), 0, None, None);
        let connect = |command| match command {
            TransportCommand::Connect(CONN, _, outbox) => Some(outbox),
            _ => None,
        };
        let to_exchange = event_loop.take_commands().into_iter().find_map(connect).unwrap();
        let accepted = ConnEvent::Accepted(Outbox::default());
        event_loop.handle(now, Inbound::Conn(Side::Exchanges, CONN, ConnEvent::Connected));
        event_loop.handle(now, Inbound::Conn(Side::Callers, CONN, accepted));
        let mut started = EventLoopWithCaller { event_loop, to_exchange };
        started.receive(now, Side::Exchanges, &status.parse().unwrap());
        started.receive(now, Side::Callers, &open_message(&sid(0), 1, 9_000));
        started.receive(now, Side::Exchanges, &json!({"msg": "ready", "sid": sid(0), "attrs": {}}));
        started
    }

    pub fn receive(&mut self, now: Micros, side: Side, message: &Value) {
        let message = Message::parse(message.to_string().as_bytes()).unwrap();
        let permit = Arc::new(Semaphore::new(1)).try_acquire_arc().unwrap();
        self.event_loop.handle(now, Inbound::Conn(side, CONN, ConnEvent::Message(message, permit)));
        self.event_loop.expire_timers(now);
        self.event_loop.take_commands();
    }

    pub fn counter(&self, name: &str) -> u64 {
        let counters = self.event_loop.counters();
        counters.iter().find(|(counter, _)| counter == name).map_or(0, |(_, value)| *value)
    }
}
