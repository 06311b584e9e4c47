// Package sdcapacity computes the figures of docs/CAPACITY.md. Each figure is a
// table row with a formula over inputs, which are targets, measurements or
// constants from docs/capacity.json, and over earlier figures.
package sdcapacity

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"regexp"
	"strconv"
	"strings"
)

// Input is a number that the formulas use.
type Input struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Source is "target", "measured" or "constant".
	Source string `json:"source"`
	// From is the command that measured the number, or the place that defines it.
	From string `json:"from"`
}

// Inputs decodes the content of docs/capacity.json.
func Inputs(text []byte) ([]Input, error) {
	var file struct {
		Inputs []Input `json:"inputs"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("decode inputs: %w", err)
	}
	return file.Inputs, nil
}

// Row is one figure of the page.
type Row struct {
	// Line is the index of the row among the lines of the page, from 0.
	Line    int
	Name    string
	Formula string
	// Printed is the value in the text of the page.
	Printed string
	Unit    string
}

// rowPattern matches a row: | name | `formula` | value | unit |.
var rowPattern = regexp.MustCompile("^\\| ([a-z0-9_]+) \\| `([^`]+)` \\| ([^|]+) \\| ([^|]*) \\|$")

// Rows returns the figures of the page in their order. Other lines are skipped.
func Rows(page string) []Row {
	var rows []Row
	for i, line := range strings.Split(page, "\n") {
		match := rowPattern.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		rows = append(rows, Row{Line: i, Name: match[1], Formula: match[2], Printed: strings.TrimSpace(match[3]), Unit: strings.TrimSpace(match[4])})
	}
	return rows
}

// Evaluate returns the values of all inputs and rows by name. A formula may use
// inputs and earlier rows.
func Evaluate(inputs []Input, rows []Row) (map[string]float64, error) {
	values := make(map[string]float64)
	for _, input := range inputs {
		if _, defined := values[input.Name]; defined {
			return nil, fmt.Errorf("input %s is defined twice", input.Name)
		}
		values[input.Name] = input.Value
	}
	for _, row := range rows {
		if _, defined := values[row.Name]; defined {
			return nil, fmt.Errorf("line %d: %s is defined twice", row.Line+1, row.Name)
		}
		value, err := evaluate(row.Formula, values)
		if err != nil {
			return nil, fmt.Errorf("line %d: %s: %w", row.Line+1, row.Name, err)
		}
		values[row.Name] = value
	}
	return values, nil
}

func evaluate(formula string, values map[string]float64) (float64, error) {
	expression, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, fmt.Errorf("formula %q: %w", formula, err)
	}
	return valueOf(expression, values)
}

// valueOf returns the value of an expression of numbers, names, parentheses and the
// four basic operations.
func valueOf(expression ast.Expr, values map[string]float64) (float64, error) {
	switch e := expression.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		value, ok := values[e.Name]
		if !ok {
			return 0, fmt.Errorf("%s is neither an input nor an earlier row", e.Name)
		}
		return value, nil
	case *ast.ParenExpr:
		return valueOf(e.X, values)
	case *ast.BinaryExpr:
		return binary(e, values)
	}
	return 0, fmt.Errorf("a formula may contain only numbers, names, parentheses and + - * /")
}

// binary returns the result of one of the four basic operations.
func binary(e *ast.BinaryExpr, values map[string]float64) (float64, error) {
	left, err := valueOf(e.X, values)
	if err != nil {
		return 0, err
	}
	right, err := valueOf(e.Y, values)
	if err != nil {
		return 0, err
	}
	switch e.Op {
	case token.ADD:
		return left + right, nil
	case token.SUB:
		return left - right, nil
	case token.MUL:
		return left * right, nil
	case token.QUO:
		return left / right, nil
	}
	return 0, fmt.Errorf("a formula may contain only numbers, names, parentheses and + - * /")
}

// significantDigits is the precision of the printed values.
const significantDigits = 3

// Format returns a value with three significant digits.
func Format(value float64) string {
	if value == 0 {
		return "0"
	}
	integerDigits := int(math.Floor(math.Log10(math.Abs(value)))) + 1
	decimals := max(0, significantDigits-integerDigits)
	scale := math.Pow(10, float64(significantDigits-integerDigits))
	rounded := math.Round(value*scale) / scale
	return strconv.FormatFloat(rounded, 'f', decimals, 64)
}

// Fill returns the page with the values of all rows replaced.
func Fill(page string, rows []Row, values map[string]float64) string {
	lines := strings.Split(page, "\n")
	for _, row := range rows {
		lines[row.Line] = fmt.Sprintf("| %s | `%s` | %s | %s |", row.Name, row.Formula, Format(values[row.Name]), row.Unit)
	}
	return strings.Join(lines, "\n")
}
