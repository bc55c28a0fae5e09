package once

import (
	"context"

	pb "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/store"
)

// maxLostEntriesPerWrite limits how many lost entries one write of the head adds.
const maxLostEntriesPerWrite = 128

// wasRestored reports whether the store was restored since the head was last read or written. The
// present head has the given revision, 0 if there is none.
func (w *Writer) wasRestored(revision store.Revision) bool {
	era := revision.Era()
	if revision == 0 && w.config.Era != nil {
		era = w.config.Era()
	}
	return w.revision != 0 && era > w.revision.Era()
}

// adoptRestored makes the head of a restored store the current one. Keys that this writer knows and
// that the store has lost may not be claimed again: they become unknown ones, which later writers
// have to know too.
func (w *Writer) adoptRestored(ctx context.Context, head *pb.OnceHead, revision store.Revision, bytes int) error {
	if w.beforeRestore == nil {
		w.beforeRestore = w.index
	}
	w.index, w.head, w.loadedTo, w.layoutChecked = nil, nil, 0, false
	clear(w.deleted)
	w.segments.clearCache()
	if err := w.applyHead(ctx, head, revision, bytes); err != nil {
		return err
	}
	w.lost = lostEntries(w.beforeRestore, w.index)
	w.beforeRestore = nil
	w.config.Log.Info("claims of a restored store", "range", uint32(w.rangeID), "era", uint64(revision.Era()), "lost", len(w.lost))
	return nil
}

// lostEntries returns entries that make the keys of before unknown which after doesn't have, or has in
// an earlier state.
func lostEntries(before, after *index) []*pb.OnceEntry {
	var entries []*pb.OnceEntry
	for key, r := range before.records {
		if _, known := before.lookup(key); !known {
			continue
		}
		now, known := after.lookup(key)
		if known && (now.state == r.state || now.state != stateClaimed) {
			continue
		}
		entries = append(entries, &pb.OnceEntry{
			Kind: pb.OnceEntryKind_ONCE_ENTRY_KIND_UNKNOWN, Key: append([]byte(nil), key[:]...),
			BodyDigest: append([]byte(nil), r.bodyDigest[:]...), Token: append([]byte(nil), r.token[:]...), Owner: before.ownerName(r),
		})
	}
	return entries
}

// load reads the head, and writes again what a restored store has lost.
func (w *Writer) load(ctx context.Context) error {
	if err := w.refresh(ctx); err != nil {
		return err
	}
	return w.writeLost(ctx)
}

// writeLost writes the entries that a restored store has lost. After an error the range takes no
// requests; the next batch tries again. An entry that is written twice has no further effect.
func (w *Writer) writeLost(ctx context.Context) error {
	for len(w.lost) > 0 {
		n := min(len(w.lost), maxLostEntriesPerWrite)
		if err := w.write(ctx, w.lost[:n]); err != nil {
			w.indexValid = false
			return err
		}
		w.lost = w.lost[n:]
	}
	return nil
}
