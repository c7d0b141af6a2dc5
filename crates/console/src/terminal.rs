//! The terminal: it is left as it was found, whether the console ends by a key, a signal, an error or a panic.

use crate::app::{App, Effect};
use crate::link::Link;
use crate::screen::{self, Look};
use crossterm::event::{self, Event, KeyEventKind};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, IsTerminal};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use walnuthatch_control::client::ClientError;

/// The screen is drawn at most this often.
const REDRAW: Duration = Duration::from_millis(100);

/// Why there is no console.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    /// Standard output is no terminal.
    #[error("the console needs a terminal; for scripts there is walnuthatch ctl")]
    NoTerminal,
    /// The terminal refused.
    #[error("terminal: {0}")]
    Terminal(#[from] io::Error),
    /// There is no controller.
    #[error("{0}")]
    NoController(#[from] ClientError),
}

/// Runs the console on this terminal until it is left.
///
/// # Errors
/// If there is no terminal, or no controller at the socket.
pub fn run(socket: &Path, who: &str) -> Result<(), ConsoleError> {
    if !io::stdout().is_terminal() || !io::stdin().is_terminal() {
        return Err(ConsoleError::NoTerminal);
    }
    // Told before the screen is taken: a wrong path is not to be read off a full screen.
    drop(walnuthatch_control::client::Connection::open(socket, who)?);
    let ended = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGHUP, SIGINT] {
        signal_hook::flag::register(signal, ended.clone())?;
    }
    // This also has a panic give the terminal back before it is told.
    let mut terminal = ratatui::try_init()?;
    let ran = follow(&mut terminal, socket, who, &ended);
    ratatui::restore();
    ran
}

fn follow(
    terminal: &mut ratatui::DefaultTerminal,
    socket: &Path,
    who: &str,
    ended: &AtomicBool,
) -> Result<(), ConsoleError> {
    let link = Link::start(socket.to_owned(), who.to_owned());
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let mut app = App::new(&format!("console-{}-{:x}", std::process::id(), started.as_nanos()));
    let look = Look::of_environment(|name| std::env::var(name).ok());
    let (mut drawn, mut news) = (None::<Instant>, true);
    while !ended.load(Ordering::SeqCst) {
        let (states, frames) = link.take();
        news |= !states.is_empty() || !frames.is_empty();
        let mut effects: Vec<Effect> = states.into_iter().flat_map(|s| app.linked(s)).collect();
        effects.extend(frames.into_iter().flat_map(|f| app.frame(f)));
        if event::poll(Duration::from_millis(40))? {
            match event::read()? {
                Event::Key(key) if key.kind != KeyEventKind::Release => {
                    effects.extend(app.key(key));
                    drawn = None;
                }
                Event::Resize(..) => drawn = None,
                _ => {}
            }
            news = true;
        }
        for effect in effects {
            match effect {
                Effect::Send(id, ask) => link.send(&id, ask),
                Effect::Quit => return Ok(()),
            }
        }
        if news && drawn.is_none_or(|t| t.elapsed() >= REDRAW) {
            terminal.draw(|frame| screen::draw(frame, &app, look))?;
            (drawn, news) = (Some(Instant::now()), false);
        }
    }
    Ok(())
}
