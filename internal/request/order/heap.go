package order

// before reports whether the item at position one goes before the item at position two: by key, then by the order in which the items were
// first put in.
func (pqu *partnerQueue[T]) before(one, two int) bool {
	fst, snd := pqu.heap[one], pqu.heap[two]
	if fst.key != snd.key {
		return fst.key < snd.key
	}
	return fst.seq < snd.seq
}

// push adds an item to the heap.
func (pqu *partnerQueue[T]) push(itm *Item[T]) {
	itm.pos = len(pqu.heap)
	pqu.heap = append(pqu.heap, itm)
	pqu.up(itm.pos)
}

// remove takes the item at a position out of the heap.
func (pqu *partnerQueue[T]) remove(pos int) {
	last := len(pqu.heap) - 1
	itm := pqu.heap[pos]
	pqu.swap(pos, last)
	pqu.heap[last] = nil
	pqu.heap = pqu.heap[:last]
	itm.pos = 0
	if pos < last {
		pqu.fix(pos)
	}
}

// fix restores the heap order after the key of the item at a position has changed.
func (pqu *partnerQueue[T]) fix(pos int) {
	if !pqu.up(pos) {
		pqu.down(pos)
	}
}

// up moves an item towards the root as far as the heap order asks for, and reports whether it moved.
func (pqu *partnerQueue[T]) up(pos int) bool {
	moved := false
	for pos > 1 && pqu.before(pos, pos/2) {
		pqu.swap(pos, pos/2)
		pos /= 2
		moved = true
	}
	return moved
}

// down moves an item away from the root as far as the heap order asks for.
func (pqu *partnerQueue[T]) down(pos int) {
	for {
		child := 2 * pos
		if child >= len(pqu.heap) {
			return
		}
		if child+1 < len(pqu.heap) && pqu.before(child+1, child) {
			child++
		}
		if !pqu.before(child, pos) {
			return
		}
		pqu.swap(pos, child)
		pos = child
	}
}

func (pqu *partnerQueue[T]) swap(one, two int) {
	pqu.heap[one], pqu.heap[two] = pqu.heap[two], pqu.heap[one]
	pqu.heap[one].pos = one
	pqu.heap[two].pos = two
}
