package membership

import "time"

// Encodings of ages: one byte per VM (fine) or four bits per VM (coarse). The
// coarse encoding halves the largest part of a reply. Its greatest age, 14 units
// or 1.96 s, is just below the default evidence window of 2 s; older evidence is
// encoded as none.
const (
	fineUnit   = 10 * time.Millisecond
	fineNone   = 0xff
	coarseUnit = 140 * time.Millisecond
	coarseNone = 0xf
	coarseBits = 4
)

// newReach returns a Reach without evidence in the encoding used for this number
// of VMs.
func newReach(vms int) *Reach {
	r := &Reach{Coarse: vms > maxVMsFineReach, Ages: make([]byte, vms)}
	if r.Coarse {
		r.Ages = r.Ages[:(vms+1)/2]
	}
	for i := range r.Ages {
		r.Ages[i] = fineNone // 0xff also means coarseNone in both halves of the byte
	}
	return r
}

// covers reports whether the length of r.Ages matches the number of VMs.
func (r *Reach) covers(vms int) bool {
	if r.Coarse {
		return len(r.Ages) == (vms+1)/2
	}
	return len(r.Ages) == vms
}

// set encodes the age of the evidence about the VM with index vm, rounded up.
func (r *Reach) set(vm int, age time.Duration) {
	if !r.Coarse {
		r.Ages[vm] = toUnits(age, fineUnit, fineNone)
		return
	}
	shift := coarseBits * (vm % 2)
	r.Ages[vm/2] = r.Ages[vm/2]&^(coarseNone<<shift) | toUnits(age, coarseUnit, coarseNone)<<shift
}

// age decodes the age of the evidence about the VM with index vm. It returns
// false if there is no evidence.
func (r *Reach) age(vm int) (time.Duration, bool) {
	if !r.Coarse {
		value := r.Ages[vm]
		return time.Duration(value) * fineUnit, value != fineNone
	}
	value := r.Ages[vm/2] >> (coarseBits * (vm % 2)) & coarseNone
	return time.Duration(value) * coarseUnit, value != coarseNone
}

// toUnits converts age to units, rounded up, or returns none if the result would
// not be less than none.
func toUnits(age, unit time.Duration, none byte) byte {
	n := (max(age, 0) + unit - 1) / unit
	if n >= time.Duration(none) {
		return none
	}
	return byte(n)
}
