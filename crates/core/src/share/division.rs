/// `Claim` is what an account wants of a room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight of the account; one that is not above 0 gets only what the others leave.
    pub weight: f64,
    /// Processor time that its running and waiting tasks want together, in millicores.
    pub wanted: u64,
}

/// Divides a room, in millicores, among claims by their weight, and returns the part of each.
///
/// No claim gets more than it wants. What one leaves is divided among the others by their weight, so that the room
/// is used up as long as there is a claim for it (weighted max-min fairness).
#[must_use]
pub fn divide(room: u64, claims: &[Claim]) -> Vec<u64> {
    let weight = |index: usize| claims[index].weight.max(f64::MIN_POSITIVE);
    let relative = |index: usize| as_float(claims[index].wanted) / weight(index);
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| relative(*a).total_cmp(&relative(*b)));
    let mut weight_left: f64 = order.iter().map(|index| weight(*index)).sum();
    let mut room_left = room;
    let mut parts = vec![0; claims.len()];
    for (position, index) in order.iter().enumerate() {
        let is_last = position + 1 == order.len();
        let fair = if is_last {
            room_left
        } else {
            scaled(room_left, weight(*index) / weight_left)
        };
        let part = fair.min(claims[*index].wanted).min(room_left);
        parts[*index] = part;
        room_left -= part;
        weight_left = (weight_left - weight(*index)).max(f64::MIN_POSITIVE);
    }
    parts
}

#[expect(
    clippy::cast_precision_loss,
    reason = "shares are compared to within a millicore of thousands of cores"
)]
fn as_float(amount: u64) -> f64 {
    amount as f64
}

/// Returns a share, from 0 to 1, of an amount.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of an amount is neither negative nor above it"
)]
fn scaled(amount: u64, share: f64) -> u64 {
    (as_float(amount) * share.clamp(0.0, 1.0)) as u64
}
