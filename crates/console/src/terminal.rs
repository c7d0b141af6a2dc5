//! The console's event loop. The terminal is restored whether the console ends by a key, a signal, an error or a panic.

use crate::app::{App, Effect};
use crate::link::Link;
use crate::screen::{self, Theme};
use crossterm::event::{self, Event, KeyEventKind};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, IsTerminal};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use walnuthatch_control::client::ClientError;

/// Minimum interval between redraws, except after a key press or a resize.
const MIN_REDRAW_INTERVAL: Duration = Duration::from_millis(100);

/// Why the console could not run.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    /// Standard input or output is not a terminal.
    #[error("the console needs a terminal; use walnuthatch ctl in scripts")]
    NoTerminal,
    /// A terminal operation failed.
    #[error("terminal: {0}")]
    Terminal(#[from] io::Error),
    /// The controller could not be reached.
    #[error("{0}")]
    NoController(#[from] ClientError),
}

/// Runs the console on this terminal until the operator quits.
///
/// # Errors
/// Returns an error if there is no terminal or the controller cannot be reached at the socket.
pub fn run(socket: &Path, who: &str) -> Result<(), ConsoleError> {
    if !io::stdout().is_terminal() || !io::stdin().is_terminal() {
        return Err(ConsoleError::NoTerminal);
    }
    // Connect once before entering full-screen mode, so that a wrong path is reported as a plain error message.
    drop(walnuthatch_control::client::Connection::open(socket, who)?);
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGHUP, SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    // This also installs a panic hook that restores the terminal before the panic message is printed.
    let mut terminal = ratatui::try_init()?;
    let result = event_loop(&mut terminal, socket, who, &stop);
    ratatui::restore();
    result
}

fn event_loop(
    terminal: &mut ratatui::DefaultTerminal,
    socket: &Path,
    who: &str,
    stop: &AtomicBool,
) -> Result<(), ConsoleError> {
    let link = Link::start(socket.to_owned(), who.to_owned());
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let mut app = App::new(&format!("console-{}-{:x}", std::process::id(), started.as_nanos()));
    let theme = Theme::from_environment(|name| std::env::var(name).ok());
    let (mut last_draw, mut dirty) = (None::<Instant>, true);
    while !stop.load(Ordering::SeqCst) {
        let (states, frames) = link.take();
        dirty |= !states.is_empty() || !frames.is_empty();
        let mut effects: Vec<Effect> = states.into_iter().flat_map(|s| app.link_changed(s)).collect();
        effects.extend(frames.into_iter().flat_map(|f| app.handle_frame(f)));
        if event::poll(Duration::from_millis(40))? {
            match event::read()? {
                Event::Key(key) if key.kind != KeyEventKind::Release => {
                    effects.extend(app.handle_key(key));
                    last_draw = None;
                }
                Event::Resize(..) => last_draw = None,
                _ => {}
            }
            dirty = true;
        }
        for effect in effects {
            match effect {
                Effect::Send(id, operation) => link.send(&id, operation),
                Effect::Quit => return Ok(()),
            }
        }
        if dirty && last_draw.is_none_or(|t| t.elapsed() >= MIN_REDRAW_INTERVAL) {
            terminal.draw(|frame| screen::draw(frame, &app, theme))?;
            (last_draw, dirty) = (Some(Instant::now()), false);
        }
    }
    Ok(())
}
