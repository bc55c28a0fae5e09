package backends

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Cell identifies a subset of the nodes and engines of a large deployment. The nodes of
// a cell use the same decode engines and exchange their loads, which bounds the number
// of nodes and engines that each node communicates with.
type Cell struct {
	// Index is the number of the cell, from 0, and Count the number of cells.
	Index, Count int
}

// SingleCell is the only cell of a small deployment.
var SingleCell = Cell{Index: 0, Count: 1}

// minCellServers is the minimum average number of engines of a service per cell. Below
// it, the service is not divided into cells.
const minCellServers = 12

// cellServers holds the servers of each cell, by service, for one view.
type cellServers struct {
	cellCount int
	byService map[string][][]*Server
}

// serversInCell returns the engines of a service for the nodes of a cell: the decode
// engines of the cell and all prefill engines, because the shared parts of prompts are
// cached on prefill engines for all nodes. Nodes with the same registrations compute
// the same division, and a changed registration moves few engines.
func (v *View) serversInCell(service string, c Cell) []*Server {
	servers := v.services[service]
	if c.Count <= 1 || len(servers) < minCellServers*c.Count {
		return servers
	}
	cells := v.cellServers.Load()
	if cells == nil || cells.cellCount != c.Count {
		cells = v.divideIntoCells(c.Count)
		v.cellServers.Store(cells)
	}
	return cells.byService[service][c.Index%c.Count]
}

// divideIntoCells divides the servers of each service into count cells.
func (v *View) divideIntoCells(count int) *cellServers {
	divided := &cellServers{cellCount: count, byService: make(map[string][][]*Server, len(v.services))}
	for service, servers := range v.services {
		cells := make([][]*Server, count)
		// Each failure domain is divided separately, so that every cell has servers in
		// each of them.
		type group struct {
			role   Role
			domain string
		}
		groups := make(map[group][]*Server)
		var sortedGroups []group
		for _, s := range servers {
			g := group{s.Role, s.FailureDomain}
			if groups[g] == nil {
				sortedGroups = append(sortedGroups, g)
			}
			groups[g] = append(groups[g], s)
		}
		slices.SortFunc(sortedGroups, func(a, b group) int {
			return cmp.Or(cmp.Compare(a.role, b.role), cmp.Compare(a.domain, b.domain))
		})
		for _, g := range sortedGroups {
			if g.role != RolePrefill {
				assignToCells(groups[g], cells)
			}
		}
		for _, s := range servers {
			if s.Role == RolePrefill {
				for i := range cells {
					cells[i] = append(cells[i], s)
				}
			}
		}
		divided.byService[service] = cells
	}
	return divided
}

// assignToCells appends each server to the cell with the highest hash for it that has
// not received its share yet. When servers are added or removed, few others move.
func assignToCells(servers []*Server, cells [][]*Server) {
	capacity := make([]int, len(cells))
	// The remainder goes to the cells with the fewest servers.
	bySize := make([]int, len(cells))
	for i := range cells {
		capacity[i] = len(servers) / len(cells)
		bySize[i] = i
	}
	slices.SortStableFunc(bySize, func(a, b int) int { return cmp.Compare(len(cells[a]), len(cells[b])) })
	for i := range len(servers) % len(cells) {
		capacity[bySize[i]]++
	}
	for _, s := range servers {
		chosen, highestHash := -1, uint64(0)
		for i := range cells {
			if capacity[i] == 0 {
				continue
			}
			if hash := cellHash(s, i); chosen < 0 || hash > highestHash {
				chosen, highestHash = i, hash
			}
		}
		capacity[chosen]--
		cells[chosen] = append(cells[chosen], s)
	}
}

// cellHash returns the rendezvous hash of a server and a cell.
func cellHash(s *Server, cell int) uint64 {
	var b [9]byte
	for i := range 8 {
		b[i] = byte(s.Hash >> (8 * i))
	}
	b[8] = byte(cell)
	return xxhash.Sum64(b[:])
}

// EnginePart returns the part of the prefill engines to which the engine with the given
// hash belongs, from 0. There are as many parts as cells, and one node, the aggregator,
// adds up the loads of all nodes on the engines of a part.
func (c Cell) EnginePart(server uint64) int { return int(server % uint64(c.Count)) }

// nodesPerCell is how many nodes share a cell. Each node sends its load to all others
// of its cell, so the cost per node grows with the size of the cell.
const nodesPerCell = 9

// CellOf returns the cell of the node at an index in the list of all nodes.
func CellOf(index, nodes int) Cell {
	count := max(1, int(math.Round(float64(nodes)/nodesPerCell)))
	return Cell{Index: index % count, Count: count}
}
