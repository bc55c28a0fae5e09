package backends

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Cell is the part of a large deployment that a node works in: some nodes share
// some engines, so that a node talks to a bounded number of both, and those that
// use an engine know each other's work.
type Cell struct {
	// Index is the number of the cell, Count the number of all cells.
	Index, Count int
}

// WholeDeployment is the cell of small deployments.
var WholeDeployment = Cell{Index: 0, Count: 1}

// minCellServers is how many engines of a service a cell has at least. With fewer
// cells are not used.
const minCellServers = 12

// cellViews holds the engines of each cell for one view.
type cellViews struct {
	count    int
	services map[string][][]*Server
}

// inCell returns the engines of a service that a node in a cell uses: the decode
// engines of the cell and all prefill engines, because the shared parts of prompts
// are cached at one of these for all nodes. The division is the same on all nodes
// that have the same registrations, and changes little with them.
func (v *View) inCell(service string, c Cell) []*Server {
	servers := v.services[service]
	if c.Count <= 1 || len(servers) < minCellServers*c.Count {
		return servers
	}
	cells := v.cells.Load()
	if cells == nil || cells.count != c.Count {
		cells = v.divide(c.Count)
		v.cells.Store(cells)
	}
	return cells.services[service][c.Index%c.Count]
}

func (v *View) divide(count int) *cellViews {
	views := &cellViews{count: count, services: make(map[string][][]*Server, len(v.services))}
	for service, servers := range v.services {
		cells := make([][]*Server, count)
		// Failure domains are divided apart, so that each cell has its part of
		// all.
		type group struct {
			role   Role
			domain string
		}
		groups := make(map[group][]*Server)
		var order []group
		for _, s := range servers {
			g := group{s.Role, s.FailureDomain}
			if groups[g] == nil {
				order = append(order, g)
			}
			groups[g] = append(groups[g], s)
		}
		slices.SortFunc(order, func(a, b group) int {
			return cmp.Or(cmp.Compare(a.role, b.role), cmp.Compare(a.domain, b.domain))
		})
		for _, g := range order {
			if g.role != RolePrefill {
				deal(groups[g], cells)
			}
		}
		for _, s := range servers {
			if s.Role == RolePrefill {
				for i := range cells {
					cells[i] = append(cells[i], s)
				}
			}
		}
		views.services[service] = cells
	}
	return views
}

// deal gives each server to the cell that it prefers by its hash, as long as no
// cell gets more than its part. Servers that come and go move few others.
func deal(servers []*Server, cells [][]*Server) {
	room := make([]int, len(cells))
	// What does not divide evenly goes to the cells that have the fewest.
	byFill := make([]int, len(cells))
	for i := range cells {
		room[i] = len(servers) / len(cells)
		byFill[i] = i
	}
	slices.SortStableFunc(byFill, func(a, b int) int { return cmp.Compare(len(cells[a]), len(cells[b])) })
	for i := range len(servers) % len(cells) {
		room[byFill[i]]++
	}
	for _, s := range servers {
		best, highest := -1, uint64(0)
		for i := range cells {
			if room[i] == 0 {
				continue
			}
			if r := cellRank(s, i); best < 0 || r > highest {
				best, highest = i, r
			}
		}
		room[best]--
		cells[best] = append(cells[best], s)
	}
}

func cellRank(s *Server, cell int) uint64 {
	var b [9]byte
	for i := range 8 {
		b[i] = byte(s.Hash >> (8 * i))
	}
	b[8] = byte(cell)
	return xxhash.Sum64(b[:])
}

// Part returns the number of the cell whose keeper adds up the work on a prefill
// engine.
func (c Cell) Part(server uint64) int { return int(server % uint64(c.Count)) }

// nodesPerCell is how many nodes share a cell. Each sends its work to all others
// of the cell, so more cost more of every node.
const nodesPerCell = 9

// CellOf returns the cell of the node at an index in the list of all nodes.
func CellOf(index, nodes int) Cell {
	count := max(1, int(math.Round(float64(nodes)/nodesPerCell)))
	return Cell{Index: index % count, Count: count}
}
