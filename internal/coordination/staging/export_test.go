package staging

import "context"

// Tick runs one evaluation of the rollouts.
func Tick(ctx context.Context, d *Decider) { d.tick(ctx) }
