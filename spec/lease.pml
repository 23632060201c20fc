/* Leases on one target of two slots: two hosts of its zone, 0 and 1, and a
 * witness of another zone, 2, vote on who holds it. Each of the two hosts owns
 * one slot: it lends it to the holder of a majority, or uses it alone.
 *
 * Time is a step that counts every running span down by one. Any message may be
 * lost: an ask that nobody makes. One that is late changes nothing, as a grant
 * is counted from the sending of its ask and the holder may do more, not less,
 * the sooner it knows of it; so a grant is known at once here. Hosts crash and
 * restart with nothing remembered; what they had sent stays on the target for
 * up to WORK steps. A host that is stopped and continued is one that does
 * nothing for a while, which every interleaving has. Clocks of different rate,
 * and old messages, are left to the tests of the code.
 *
 * Checked: the work on the target never passes its slots, and a holder of a
 * majority sends only when no work of another such holder is left (so that the
 * cold limit is one host's to keep).
 *
 * Broken variants, each of which must be caught:
 *   -DNO_AMNESIA_GUARD  a restarted grantor grants at once
 *   -DCOUNT_FROM_REPLY  a lease is counted from its reply, that is late
 *   -DFULL_SHARE        the holder uses the slot of a host it can't reach
 *   -DNO_WORK_WAIT      the next holder doesn't wait for work after an expiry
 *   -DFORGET_ON_RELEASE a release wipes out what earlier holders left running
 *   -DNO_GREETING       a restarted host uses its slot though the other one may
 *                       still know it for stopped
 *   -DNO_GREETING_WAIT  it does so while work on it may still run
 */

#ifndef LEASE
#define LEASE 2
#endif
#ifndef WORK
#define WORK 2
#endif
#ifndef CRASHES
#define CRASHES 2
#endif

#define NONE 3
#define UNKNOWN 7   /* a wait of forever */
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* What a grantor keeps. Index 0..2: the vote of that grantor; 3 and 4: the slot
 * of host 0 and 1, which that host grants. */
#define GRANTS 5
#define GRANTOR(r) ((r) < 3 -> (r) : (r) - 3)
byte holder[GRANTS] = NONE;
byte expiry[GRANTS];          /* steps left of the grant */
byte busy[GRANTS];            /* steps for which former work may run */
byte guard[3];                /* steps for which a restarted grantor waits */

/* What host h has of grant r, at [h * GRANTS + r]. */
#define AT(h, r) ((h) * GRANTS + (r))
byte valid[2 * GRANTS];       /* steps left of it, as h counts them */
byte wait[2 * GRANTS];        /* steps until it may be used */

byte on_target[2];            /* attempts of each host on the target */
byte work_left[2];            /* steps for which the latest of them may run */
bool by_majority[2];          /* some of them were sent by a majority's holder */

bool up[2] = true;
byte stopped_from[2] = UNKNOWN; /* steps until host h counts the other's slot
                                   as free, as it knows the other to be down */
bool greeted[2] = true;       /* the other host has answered this life */
byte greeting_wait[2];        /* steps until the other's work has ended */
byte crashes;

#define USABLE(h, r) (valid[AT(h, r)] > 0 && wait[AT(h, r)] == 0)
#define VOTES(h) (USABLE(h, 0) + USABLE(h, 1) + USABLE(h, 2))
#define HOLDS(h) (up[h] && VOTES(h) >= 2)

/* Whether h may use its own slot without a majority. */
#ifdef NO_GREETING
#define ALONE(h) true
#else
#define ALONE(h) (greeted[h] && greeting_wait[h] == 0)
#endif
#define ALONE_SHARE(h) (ALONE(h) && USABLE(h, 3 + h) -> 1 : 0)

#ifdef FULL_SHARE
#define SHARE(h) (HOLDS(h) -> 2 : ALONE_SHARE(h))
#else
#define LENT(h, p) (USABLE(h, 3 + p) || (p != h && stopped_from[h] == 0))
#define SHARE(h) (HOLDS(h) -> LENT(h, 0) + LENT(h, 1) : ALONE_SHARE(h))
#endif

/* A part is asked for by the holder of a majority, or by its owner, alone. */
#define MAY_ASK(h, r) \
  (up[h] && (GRANTOR(r) == 2 || up[GRANTOR(r)]) && guard[GRANTOR(r)] == 0 && \
   ((r) < 3 || HOLDS(h) || ((r) == 3 + h && ALONE(h))))

inline DownByOne(span) {
  if
  :: span > 0 && span != UNKNOWN -> span--
  :: else
  fi
}

inline Grant(h, r) {
  holder[r] = h;
  expiry[r] = LEASE;
#ifdef COUNT_FROM_REPLY
  valid[AT(h, r)] = LEASE + WORK + 1;
#else
  valid[AT(h, r)] = LEASE;
#endif
  wait[AT(h, r)] = busy[r]
}

inline Drop(h, r) {
  valid[AT(h, r)] = 0;
  wait[AT(h, r)] = 0
}

/* A host may give back any grant while it keeps others, which is more than the
 * code does. It tells whether work of it is left. A release that is lost is a
 * grant that is never used again. */
inline Release(h, r) {
  Drop(h, r);
  if
  :: holder[r] == h ->
     holder[r] = NONE;
     expiry[r] = 0;
#ifdef FORGET_ON_RELEASE
     busy[r] = (on_target[h] > 0 -> WORK : 0)
#else
     busy[r] = MAX(busy[r], (on_target[h] > 0 -> WORK : 0))
#endif
  :: else
  fi
}

inline Forget(r) {
  holder[r] = NONE;
  expiry[r] = 0;
#ifdef NO_AMNESIA_GUARD
  busy[r] = 0;
#else
  busy[r] = LEASE + WORK;
#endif
}

inline Crash(h) {
  up[h] = false;
  crashes++;
  for (i : 0 .. GRANTS - 1) {
    Drop(h, i)
  };
  Forget(h);
  Forget(3 + h);
  stopped_from[h] = UNKNOWN;
  greeted[h] = false;
  greeting_wait[h] = 0
}

inline Restart(h) {
  up[h] = true;
#ifndef NO_AMNESIA_GUARD
  guard[h] = LEASE;
  busy[h] = LEASE + WORK;
  busy[3 + h] = LEASE + WORK
#endif
}

/* The other host takes note that this one runs; its answer may be lost. */
inline Greet(h) {
  stopped_from[1 - h] = UNKNOWN
}

inline Greeted(h) {
  stopped_from[1 - h] = UNKNOWN;
  greeted[h] = true;
#ifndef NO_GREETING_WAIT
  greeting_wait[h] = WORK
#endif
}

inline Send(h) {
  if
  :: HOLDS(h) ->
     assert(!by_majority[1 - h]);
     by_majority[h] = true
  :: else
  fi;
  on_target[h]++;
  work_left[h] = WORK;
  assert(on_target[0] + on_target[1] <= 2)
}

inline Ended(h) {
  on_target[h] = 0;
  work_left[h] = 0;
  by_majority[h] = false
}

inline Step() {
  for (i : 0 .. GRANTS - 1) {
    DownByOne(expiry[i]);
    DownByOne(busy[i]);
    if
    :: expiry[i] == 0 && holder[i] != NONE ->
       /* Expired, not given back: its work is waited for. */
#ifndef NO_WORK_WAIT
       busy[i] = MAX(busy[i], WORK);
#endif
       holder[i] = NONE
    :: else
    fi
  };
  for (i : 0 .. 2) {
    DownByOne(guard[i])
  };
  for (i : 0 .. 2 * GRANTS - 1) {
    DownByOne(valid[i]);
    DownByOne(wait[i]);
    if
    :: valid[i] == 0 -> wait[i] = 0
    :: else
    fi
  };
  for (i : 0 .. 1) {
    DownByOne(stopped_from[i]);
    DownByOne(greeting_wait[i]);
    DownByOne(work_left[i]);
    if
    :: work_left[i] == 0 -> Ended(i)
    :: else
    fi
  }
}

#define GRANTOR_UP(r) (GRANTOR(r) == 2 || up[GRANTOR(r)])
#define ASKS(h, r) \
  :: d_step { MAY_ASK(h, r) && (holder[r] == h || holder[r] == NONE) -> \
              Grant(h, r) } \
  :: d_step { up[h] && GRANTOR_UP(r) && holder[r] == h -> Release(h, r) }

#define ACTIONS(h) \
  :: d_step { up[h] && SHARE(h) > on_target[h] -> Send(h) } \
  :: d_step { on_target[h] > 0 -> Ended(h) } \
  :: d_step { up[h] && crashes < CRASHES -> Crash(h); i = 0 } \
  :: d_step { !up[h] -> Restart(h) } \
  :: d_step { !up[h] && up[1 - h] && stopped_from[1 - h] == UNKNOWN -> \
              stopped_from[1 - h] = WORK } \
  :: d_step { up[h] && up[1 - h] && stopped_from[1 - h] != UNKNOWN -> \
              Greet(h) } \
  :: d_step { up[h] && up[1 - h] && !greeted[h] -> Greeted(h) } \
  ASKS(h, 0) \
  ASKS(h, 1) \
  ASKS(h, 2) \
  ASKS(h, 3) \
  ASKS(h, 4)

byte i;

active proctype Zone() {
  do
  :: d_step { Step(); i = 0 }
  ACTIONS(0)
  ACTIONS(1)
  od
}
