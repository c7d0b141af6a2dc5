//! Renders the screens as text on a small and a large terminal, and checks how keys change the state.

use crossterm::event::{KeyCode, KeyEvent, KeyModifiers};
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use walnuthatch_console::app::{App, Effect, LinkState, Mode, Page};
use walnuthatch_console::screen::{draw, Theme};
use walnuthatch_control::frames::{Body, Frame, Operation, Topic};
use walnuthatch_control::views::*;

const PLAIN: Theme = Theme { colours: false, unicode: false };

fn view(app: &mut App, view: Topic, body: Body) {
    app.handle_frame(Frame::View { v: 1, view, body });
}

fn exchange(n: u16, drain: &str) -> Exchange {
    Exchange {
        exchange: n,
        member: format!("yoff-{n}"),
        address: format!("127.0.0.1:{}", 5000 + n),
        listed: "ready".into(),
        drain: drain.into(),
        connected: n != 3,
        free: Some(12.0),
        size: Some(40.0),
        standing: 28,
        p50_ms: 16.2,
        p99_ms: 23.0,
        report_age_ms: Some(120),
        history: (0..30).collect(),
        ..Exchange::default()
    }
}

fn app() -> App {
    let mut a = App::new("t");
    a.link_changed(LinkState::Up);
    let status = Status {
        name: "medina".into(),
        state: "serving".into(),
        up_s: 7300,
        open: 2,
        standing: 84,
        ready: 2,
        listed: 3,
        alarms: 1,
        worst: "unreachable exchange:3: no connection for 9 s".into(),
        drains: 1,
        ..Status::default()
    };
    view(&mut a, Topic::Status, Body::Status(status));
    let exchanges = vec![exchange(1, ""), exchange(2, "emptying"), exchange(3, "")];
    view(&mut a, Topic::Exchanges, Body::Exchanges { exchanges });
    let by_fate = [("in_aim", 90), ("late", 4), ("no_circuit", 5), ("failed", 1)];
    let span = |seconds| Span {
        seconds,
        answered: 100,
        in_aim_share: Some(0.9),
        by_fate: by_fate.iter().map(|(n, c)| ((*n).to_owned(), *c)).collect(),
    };
    let spans = vec![span(10), span(60), span(3600)];
    view(
        &mut a,
        Topic::Service,
        Body::Service(Service { spans, history: vec![100; 60], ..Service::default() }),
    );
    let drain = Drain {
        order: 7,
        target: "exchange:2".into(),
        state: "emptying".into(),
        standing: 14,
        progress: 0.5,
        who: "awa".into(),
        reason: "new power supply".into(),
        limit_left_s: Some(1740),
        at_limit: "restore".into(),
        ..Drain::default()
    };
    view(
        &mut a,
        Topic::Drains,
        Body::Drains { drains: vec![drain], over: vec![], windows: vec![], round: None },
    );
    a
}

fn text(app: &App, width: u16, height: u16) -> Vec<String> {
    let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
    terminal.draw(|f| draw(f, app, PLAIN)).unwrap();
    let buffer = terminal.backend().buffer();
    let row = |y| (0..width).map(|x| buffer[(x, y)].symbol()).collect::<String>().trim_end().to_owned();
    (0..height).map(row).collect()
}

fn press(app: &mut App, keys: &str) -> Vec<Effect> {
    let key = |c| match c {
        '\n' => KeyCode::Enter,
        '\t' => KeyCode::Tab,
        c => KeyCode::Char(c),
    };
    keys.chars().flat_map(|c| app.handle_key(KeyEvent::new(key(c), KeyModifiers::NONE))).collect()
}

#[test]
fn the_overview_fits_80_by_24() {
    let got = text(&app(), 80, 24);
    let want = [
        "medina SERVING  up 2 h  2 open, 84 stand  2/3 exchanges  1 drains",
        "1 alarms: unreachable exchange:3: no connection for 9 s",
        "",
        "1 overview  2 exchanges  3 calls  4 drains  5 events  6 alarms  7 peers",
        "calls          answered   in aim     late  refused   failed     left",
        "last 10 s           100    90.0%        4        5        1        0",
        "last minute         100    90.0%        4        5        1        0",
        "last hour           100    90.0%        4        5        1        0",
        "answers p50 0.0 ms  p99 0.0 ms  p99.9 0.0 ms",
        "refused in the last minute: no circuit 5",
        "calls a second   ############################################################",
        "exch machine    state      free      out  stand  p50     p99     report   ",
        "1    yoff-1     ready      12/40     0    28     16 ms   23 ms   0.1 s    ",
    ];
    for (got, want) in got.iter().zip(want) {
        // The last columns may be cut off, so only the first 60 characters are compared.
        let same = got.trim_end().chars().take(60).collect::<String>();
        assert_eq!(same.trim_end(), want.chars().take(60).collect::<String>().trim_end());
    }
    assert!(got[13].contains("emptying") && got[14].contains("no line"), "{got:#?}");
    assert!(got[23].starts_with("d drain  u undrain"), "{got:#?}");
}

#[test]
fn every_page_renders_at_both_sizes_and_at_tiny_ones() {
    for (page, word) in [
        ('1', "last hour"),
        ('2', "yoff-3"),
        ('3', "calls"),
        ('4', "new power"),
        ('5', "kind"),
        ('6', "no alarms"),
        ('7', "0 exchanges are suspected"),
    ] {
        let mut a = app();
        press(&mut a, &page.to_string());
        for (width, height) in [(80, 24), (160, 50)] {
            let got = text(&a, width, height);
            assert!(got.iter().any(|l| l.contains(word)), "{word} at {width}: {got:#?}");
            assert!(got[0].starts_with("medina SERVING") && !got[usize::from(height) - 1].is_empty());
        }
        for (width, height) in [(1, 1), (20, 5), (200, 3)] {
            text(&a, width, height);
        }
    }
    let mut a = app();
    press(&mut a, "?");
    assert!(text(&a, 80, 24).iter().any(|l| l.contains(":undrain TARGET")));
}

#[test]
fn a_drain_shows_its_cost_and_asks_for_confirmation() {
    let mut a = app();
    let got = press(&mut a, "jd");
    let [Effect::Send(id, Operation::Cost { target })] = got.as_slice() else { panic!("{got:?}") };
    assert_eq!(target, "exchange:2");
    let cost = Cost {
        target: target.clone(),
        lost_per_minute: 60.5,
        denied: Some("too many".into()),
        ..Cost::default()
    };
    a.handle_frame(Frame::Reply {
        v: 1,
        reply: id.clone(),
        ok: true,
        error: None,
        body: Some(Body::Cost(cost)),
    });
    let got = text(&a, 80, 24).join("\n");
    assert!(
        got.contains("60.5 calls a minute lose") && got.contains("rejected by the policy: too many"),
        "{got}"
    );
    assert!(press(&mut a, "no\n").is_empty() && a.message.as_ref().is_some_and(|m| !m.0));
    press(&mut a, "d");
    let got = press(&mut a, "yes\n");
    assert!(matches!(got.as_slice(), [Effect::Send(_, Operation::Drain { force: false, .. })]), "{got:?}");
}

#[test]
fn an_unanswered_request_is_sent_again_with_the_same_id() {
    let mut a = app();
    press(&mut a, "4");
    let got = press(&mut a, "u");
    let [Effect::Send(id, operation)] = got.as_slice() else { panic!("{got:?}") };
    a.link_changed(LinkState::Down("gone".into()));
    assert!(text(&a, 80, 24)[0].contains("CONNECTION LOST (gone)"));
    assert!(a.link_changed(LinkState::Up).contains(&Effect::Send(id.clone(), operation.clone())));
    a.handle_frame(Frame::Reply {
        v: 1,
        reply: id.clone(),
        ok: false,
        error: Some("not drained".into()),
        body: None,
    });
    assert!(
        !a.link_changed(LinkState::Up).contains(&Effect::Send(id.clone(), operation.clone())),
        "an answered request is not sent again"
    );
    assert!(text(&a, 80, 24)[22].contains("! not drained"));
}

#[test]
fn commands_are_typed_and_completed_and_errors_shown() {
    let mut a = app();
    press(&mut a, ":un\texchange:2\t");
    assert_eq!(a.mode, Mode::Command("undrain exchange:2 ".into()));
    assert!(matches!(press(&mut a, "\n").as_slice(), [Effect::Send(_, Operation::Undrain { .. })]));
    assert!(press(&mut a, ":dance\n").is_empty());
    assert!(a.message.as_ref().is_some_and(|m| m.1.contains("expected one of drain")));
    let got = press(&mut a, "/4711\n");
    assert!(matches!(got.as_slice(), [Effect::Send(_, Operation::Watch { search, .. })] if search == "4711"));
    assert_eq!(a.page, Page::Calls);
    press(&mut a, ":stop\n");
    assert!(matches!(a.mode, Mode::Confirm(_)));
    assert_eq!(press(&mut a, "yes\n").len(), 1);
    assert_eq!(press(&mut a, "q"), [Effect::Quit]);
}

#[test]
fn views_with_control_characters_are_drawn_safely() {
    let mut a = app();
    let long = "\u{1b}[2J\u{202e}".repeat(200);
    let events =
        (0..2000).map(|n| Event { at_ms: i64::MIN, number: n, kind: long.clone(), text: long.clone() });
    events.for_each(|e| view(&mut a, Topic::Events, Body::Event(e)));
    press(&mut a, "5");
    let got = text(&a, 80, 24).concat();
    assert!(a.events.len() <= 500 && !got.contains('\u{1b}'), "no control character reaches the terminal");
}
