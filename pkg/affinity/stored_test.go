package affinity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reading dates what the store says, by a clock that runs as the fixture's.
func (f *fixture) reading() Reading {
	return Reading{Sent: f.now, Received: f.now, Clock: f.now.Sub(time.Unix(0, 0))}
}

// batches returns rows with all records that are to be written now.
func (f *fixture) batches(t *testing.T) [][]byte {
	list := f.TakeUnkept(true, f.now)
	var rows [][]byte
	for len(list) > 0 {
		n := min(len(list), MaxBatch)
		value, err := EncodeBatch(list[:n], f.reading(), f.now)
		require.NoError(t, err)
		rows, list = append(rows, value), list[n:]
	}
	return rows
}

// startedWith returns a router that starts now, on its own, and reads these rows.
func (f *fixture) startedWith(t *testing.T, rows ...[]byte) *fixture {
	next := newFixture()
	next.now, next.startedAt, next.history.sinceFounding = f.now, f.now, false
	next.RequireRecords()
	for _, row := range rows {
		_, err := next.MergeBatch(row, next.reading(), next.now)
		require.NoError(t, err)
	}
	next.RecordsTried(true)
	return next
}

// Guards against streams that are refused after a kill of all routers during a release: those that began beside the
// second version, and those that were in flight as it came.
func TestStreamsOfSeveralVersionsAreKnownByTheStore(t *testing.T) {
	f := newFixture()
	f.list("1")
	f.Begin("o", "before", f.instance("1"), f.now)
	require.Empty(t, f.batches(t), "nothing is written with one version")
	f.list("1", "2")
	rows := f.batches(t)
	require.Len(t, rows, 1)
	f.Begin("o", "one", f.instance("1"), f.now)
	f.Begin("o", "two", f.instance("2"), f.now)
	f.Merge([]Record{{Key: KeyOf("o", "others"), Version: VersionIDOf("s", "2")}}, f.now)
	rows = append(rows, f.batches(t)...)
	require.Empty(t, f.batches(t), "all is written")
	again := f.startedWith(t, rows...)
	again.list("1", "2")
	for id, version := range map[string]string{"before": "1", "one": "1", "two": "2", "others": "2"} {
		require.Equal(t, bound(version, StoredRecord), again.find(id), id)
	}
	require.Equal(t, unknown, again.find("never began"))
	require.False(t, again.RecordsUnread())
}

// Guards against streams of a third version, or of one that has left, which are mixed up or forgotten beside two others.
func TestStreamsOfThreeVersionsAreKnownByTheStore(t *testing.T) {
	f := newFixture()
	var rows [][]byte
	for _, versions := range [][]string{{"1"}, {"1", "2"}, {"2", "3"}, {"1", "2", "3"}} {
		f.list(versions...)
		last := versions[len(versions)-1]
		f.Begin("o", "began at "+last, f.instance(last), f.now)
		rows = append(rows, f.batches(t)...)
		f.now = f.now.Add(time.Second)
	}
	again := f.startedWith(t, rows...)
	again.list("1", "2", "3")
	for _, version := range []string{"1", "2", "3"} {
		require.Equal(t, bound(version, StoredRecord), again.find("began at "+version))
	}
}

// Guards against records of one service that are written because another one has several versions.
func TestOnlyServicesWithSeveralVersionsAreKept(t *testing.T) {
	f := newFixture()
	f.list("1", "2")
	f.TakeUnkept(true, f.now)
	f.Begin("o", "other", f.instance("1"), f.now)
	f.Merge([]Record{{Key: 7, Version: VersionIDOf("another service", "1")}}, f.now)
	require.Len(t, f.TakeUnkept(true, f.now), 1)
}

// Guards against a stream that goes on at one of two versions under which its attempt is on record.
func TestAttemptOnRecordUnderTwoVersionsIsUnknown(t *testing.T) {
	f := newFixture()
	f.list("1", "2")
	f.batches(t)
	f.Begin("o", "r", f.instance("1"), f.now)
	rows := f.batches(t)
	again := f.startedWith(t, rows...)
	again.list("1", "2")
	again.Begin("o", "r", again.instance("2"), again.now)
	require.Equal(t, unknown, again.find("r"))
	reply := again.Reply(Question{Service: "s", Key: KeyOf("o", "r")}, again.now)
	require.Equal(t, Reply{Recorded: true}, reply, "others go on nowhere either")
}

// Guards against records that a router which isn't a writer, or no longer, holds without end, and against records that
// nobody writes when another one takes its place.
func TestRouterThatBecomesAWriterWritesAllThatItKnows(t *testing.T) {
	f := newFixture()
	f.list("1", "2")
	for n := range 10 {
		f.Begin("o", fmt.Sprint(n), f.instance("1"), f.now)
		require.Empty(t, f.TakeUnkept(false, f.now))
	}
	require.Empty(t, f.outbox.pending)
	require.Len(t, f.TakeUnkept(true, f.now), 10)
	f.KeepAgain()
	require.Len(t, f.TakeUnkept(true, f.now), 10, "the store came back from a copy")
}

// Guards against records without bound while the store refuses writes.
func TestBacklogOfRecordsIsBounded(t *testing.T) {
	f := newFixture()
	f.list("1", "2")
	f.TakeUnkept(true, f.now)
	const began = maxBacklog + 3*MaxBatch
	for n := range began {
		f.Begin("o", fmt.Sprint(n), f.instance("1"), f.now)
		require.LessOrEqual(t, len(f.outbox.pending), maxBacklog+maxBacklog/8)
	}
	f.ReturnUnkept(f.TakeUnkept(true, f.now))
	list := f.TakeUnkept(true, f.now)
	require.Len(t, list, maxBacklog)
	require.Equal(t, KeyOf("o", fmt.Sprint(began-1)), list[len(list)-1].Key, "the oldest are dropped")
	require.EqualValues(t, began-maxBacklog, f.LostRecords())
}

// Guards against records that are taken for those of streams which may still be resumed, from rows that nobody removed.
func TestRowsOfLongAgoAreLeftOut(t *testing.T) {
	f := newFixture()
	f.list("1", "2")
	f.batches(t)
	f.Begin("o", "r", f.instance("1"), f.now)
	rows := f.batches(t)
	f.now = f.now.Add(f.RowLife() + time.Second)
	again := f.startedWith(t, rows...)
	again.list("1", "2")
	require.Equal(t, unknown, again.find("r"))
}

// Guards against callers that are refused while a router that has just started reads the records, and against waits
// without end.
func TestLookupsWaitForTheFirstReadOfTheRecords(t *testing.T) {
	f := newFixture()
	f.list("1", "2")
	f.batches(t)
	f.Begin("o", "r", f.instance("1"), f.now)
	rows := f.batches(t)
	again := newFixture()
	again.now, again.startedAt, again.history.sinceFounding = f.now, f.now, false
	again.RequireRecords()
	again.list("1", "2")
	require.False(t, again.Settled())
	found := make(chan Binding)
	go func() { found <- again.find("r") }()
	_, err := again.MergeBatch(rows[0], again.reading(), again.now)
	require.NoError(t, err)
	again.RecordsTried(true)
	require.Equal(t, bound("1", StoredRecord), <-found)
	require.True(t, again.Settled())

	unread := newFixture()
	unread.RequireRecords()
	unread.list("1", "2")
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, ok := unread.Find(ctx, Query{Organisation: "o", FirstAttempt: "r", Services: []string{"s"}, Service: "s"}, unread.now)
	require.False(t, ok)
	unread.RecordsTried(false)
	require.Equal(t, unknown, unread.find("r"))
	require.True(t, unread.RecordsUnread(), "callers are told to come back")
}
