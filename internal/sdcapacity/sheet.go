// Package sdcapacity reads the arithmetic of docs/CAPACITY.md: inputs that were
// measured or given, and figures worked out from them by formulas that stand
// on the page itself.
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

// Input is one number that the page starts from.
type Input struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Source is target, measured or constant.
	Source string `json:"source"`
	// From is the command that measured the number, or where it is set.
	From string `json:"from"`
}

// Inputs reads the inputs of docs/capacity.json.
func Inputs(text []byte) ([]Input, error) {
	var file struct {
		Inputs []Input `json:"inputs"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("read inputs: %w", err)
	}
	return file.Inputs, nil
}

// Row is one figure of the page: name, formula, value as printed, unit.
type Row struct {
	Line    int
	Name    string
	Formula string
	Printed string
	Unit    string
}

// rowPattern matches | name | `formula` | value | unit |.
var rowPattern = regexp.MustCompile("^\\| ([a-z0-9_]+) \\| `([^`]+)` \\| ([^|]+) \\| ([^|]*) \\|$")

// Rows returns the figures of the page in their order.
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

// Evaluate works out the rows one after the other; a formula may use inputs
// and earlier rows.
func Evaluate(inputs []Input, rows []Row) (map[string]float64, error) {
	values := make(map[string]float64)
	for _, input := range inputs {
		if _, twice := values[input.Name]; twice {
			return nil, fmt.Errorf("input %s stands twice", input.Name)
		}
		values[input.Name] = input.Value
	}
	for _, row := range rows {
		if _, twice := values[row.Name]; twice {
			return nil, fmt.Errorf("line %d: %s stands twice", row.Line+1, row.Name)
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

func valueOf(expression ast.Expr, values map[string]float64) (float64, error) {
	switch e := expression.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		value, ok := values[e.Name]
		if !ok {
			return 0, fmt.Errorf("%s is neither an input nor an earlier figure", e.Name)
		}
		return value, nil
	case *ast.ParenExpr:
		return valueOf(e.X, values)
	case *ast.BinaryExpr:
		return binary(e, values)
	}
	return 0, fmt.Errorf("a formula has only numbers, names and + - * /")
}

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
	return 0, fmt.Errorf("a formula has only numbers, names and + - * /")
}

const digits = 3

// Format prints a figure with three significant digits.
func Format(value float64) string {
	if value == 0 {
		return "0"
	}
	magnitude := int(math.Floor(math.Log10(math.Abs(value)))) + 1
	decimals := max(0, digits-magnitude)
	scale := math.Pow(10, float64(digits-magnitude))
	rounded := math.Round(value*scale) / scale
	return strconv.FormatFloat(rounded, 'f', decimals, 64)
}

// Fill returns the page with every figure as the formulas give it.
func Fill(page string, rows []Row, values map[string]float64) string {
	lines := strings.Split(page, "\n")
	for _, row := range rows {
		lines[row.Line] = fmt.Sprintf("| %s | `%s` | %s | %s |", row.Name, row.Formula, Format(values[row.Name]), row.Unit)
	}
	return strings.Join(lines, "\n")
}
