package capacity

// Point is a value measured at one size.
type Point struct{ Size, Value float64 }

// Line is a straight line fitted to measured points.
type Line struct {
	// Slope is the increase of the value for each unit of size.
	Slope float64
	// Base is the value at size 0.
	Base float64
}

// Fit returns the least-squares line through the points. With fewer than two
// different sizes the line is level; without points it is the zero Line.
func Fit(points []Point) Line {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n++
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	spread := n*sumXX - sumX*sumX
	if n == 0 {
		return Line{}
	}
	if spread == 0 {
		return Line{Base: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return Line{Slope: slope, Base: (sumY - slope*sumX) / n}
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
