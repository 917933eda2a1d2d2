package capacity

// Point is one measured value at a size.
type Point struct{ Size, Value float64 }

// Line is a straight line through measured points.
type Line struct {
	// Slope is the growth of the value with each unit of size.
	Slope float64
	// Base is the value at size 0.
	Base float64
}

// Fit returns the line with the least squared errors. Fewer than two sizes
// give a level line.
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
