package membership

import "time"

// Encodings of ages. The coarse one halves the largest part of a reply; its
// greatest age is just above the default evidence window of 2 s.
const (
	fineUnit   = 10 * time.Millisecond
	fineNone   = 0xff
	coarseUnit = 140 * time.Millisecond
	coarseNone = 0xf
	coarseBits = 4
)

// newReach returns the encoding for a number of VMs, without evidence.
func newReach(vms int) *Reach {
	r := &Reach{Coarse: vms > reachAlways, Ages: make([]byte, vms)}
	if r.Coarse {
		r.Ages = r.Ages[:(vms+1)/2]
	}
	for i := range r.Ages {
		r.Ages[i] = fineNone // also none for both halves of a coarse byte
	}
	return r
}

// covers reports whether r has ages for a number of VMs.
func (r *Reach) covers(vms int) bool {
	if r.Coarse {
		return len(r.Ages) == (vms+1)/2
	}
	return len(r.Ages) == vms
}

// set records the age of the evidence about a VM, rounded up.
func (r *Reach) set(vm int, age time.Duration) {
	if !r.Coarse {
		r.Ages[vm] = units(age, fineUnit, fineNone)
		return
	}
	shift := coarseBits * (vm % 2)
	r.Ages[vm/2] = r.Ages[vm/2]&^(coarseNone<<shift) | units(age, coarseUnit, coarseNone)<<shift
}

// age returns the age of the evidence about a VM.
func (r *Reach) age(vm int) (time.Duration, bool) {
	if !r.Coarse {
		value := r.Ages[vm]
		return time.Duration(value) * fineUnit, value != fineNone
	}
	value := r.Ages[vm/2] >> (coarseBits * (vm % 2)) & coarseNone
	return time.Duration(value) * coarseUnit, value != coarseNone
}

// units returns age in units, rounded up, or none if it is too great.
func units(age, unit time.Duration, none byte) byte {
	n := (max(age, 0) + unit - 1) / unit
	if n >= time.Duration(none) {
		return none
	}
	return byte(n)
}
