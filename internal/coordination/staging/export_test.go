package staging

import "context"

// Tick makes one look at the roll-outs.
func Tick(ctx context.Context, d *Decider) { d.tick(ctx) }
