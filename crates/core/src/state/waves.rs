//! Application of records about maintenance waves.

use super::apply::ApplyResult;
use super::{Change, Reason, State, Wave};
use crate::ids;
use crate::record::{Command, Phase};

impl State {
    pub(super) fn wave(&self, wave: &ids::Wave) -> Result<&Wave, Reason> {
        self.waves
            .get(wave)
            .ok_or_else(|| Reason::NotFound(format!("wave {wave}")))
    }

    pub(super) fn apply_command(
        &mut self,
        wave: &ids::Wave,
        command: Command,
        operator: &ids::Operator,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        let phase = self.wave(wave)?.phase;
        let next = match (command, phase) {
            (Command::Abort, Phase::Running | Phase::Paused) => Phase::Aborted,
            (Command::Pause, Phase::Running) => Phase::Paused,
            (Command::Resume, Phase::Paused) => Phase::Running,
            (_, phase) => return Err(Reason::InvalidState(format!("the wave is {phase:?}"))),
        };
        self.change_wave(wave, next, format!("asked for by {operator}"), changes)
    }

    pub(super) fn change_wave(
        &mut self,
        wave: &ids::Wave,
        phase: Phase,
        reason: String,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        let Some(current_wave) = self.waves.get_mut(wave) else {
            return Err(Reason::NotFound(format!("wave {wave}")));
        };
        if matches!(current_wave.phase, Phase::Done | Phase::Aborted) {
            return Err(Reason::InvalidState(format!(
                "the wave is {:?}",
                current_wave.phase
            )));
        }
        if current_wave.phase != phase && phase == Phase::Running {
            current_wave.failed_count = 0;
        }
        current_wave.phase = phase;
        current_wave.reason = reason;
        changes.push(Change::Wave(wave.clone(), current_wave.clone()));
        Ok(())
    }

    /// Counts a host of a wave that failed to return.
    pub(super) fn fail_wave(&mut self, wave: &ids::Wave, changes: &mut Vec<Change>) {
        if let Some(current_wave) = self.waves.get_mut(wave) {
            current_wave.failed_count += 1;
            changes.push(Change::Wave(wave.clone(), current_wave.clone()));
        }
    }

    pub(super) fn set_wave(
        &mut self,
        offset: ids::Offset,
        name: &ids::Wave,
        pool: &ids::Pool,
        batch: u32,
        changes: &mut Vec<Change>,
    ) {
        let wave = self.waves.entry(name.clone()).or_insert_with(|| Wave {
            pool: pool.clone(),
            batch,
            sheet_offset: offset,
            phase: Phase::Running,
            failed_count: 0,
            reason: "asked for by the sheet".to_owned(),
        });
        // A wave that a later sheet names again keeps its progress; only its batch size may change.
        wave.batch = batch;
        changes.push(Change::Wave(name.clone(), wave.clone()));
    }
}
