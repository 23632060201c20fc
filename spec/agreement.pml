/* Agreement on one value by a chain of single-decree decisions, while a
 * replica is replaced (docs/design/agreement.md).
 *
 * Members a, b, c hold the first value; d is to take the place of a. Each
 * attempt is a process with a ballot of its own. It asks acceptors in any
 * order, may be overtaken at any step, and may stop for ever after any step:
 * that stands for lost and slow messages, crashed proposers and acceptors, and
 * an acceptor whose disk is lost and that never answers again. A repeated
 * message finds its own ballot and changes nothing.
 *
 * A value is named by the ballot that made it. Checked: all decided values lie
 * on one chain, and a decision or a read has in its past every value that was
 * decided before it started.
 *
 * With LOST, a is gone for good before the change, as a replaced machine: once
 * the new set decides, one more loss must leave a quorum.
 *
 * With ENDS, the joining member may be gone for good too, as a host that loses
 * its disk again while it joins and answers as yet another member. From every
 * state one host that is left alone must end a change that is running, in
 * ENDING_STEPS runs, wherever a quorum answers.
 *
 * Broken variants, each of which must be caught:
 *   NO_SYNC        an acceptor answers before its record is on the disk
 *   BLANK_COUNTED  a replica that lost its disk answers as the old member
 *   NO_JOINT       during the change the new set decides alone
 *   OLD_ALONE      during the change the old set decides alone
 *   UNCHOSEN_STEP  the joint sets are left on a step that isn't chosen yet
 *   LOOSE_READ     a read takes the newest value of any quorum for chosen
 *   ADD_BESIDE     d joins beside the lost member instead of in its place
 *   NO_GIVE_UP     a change whose joining member is gone is only carried on
 *   WAIT_JOINING   the run that gives up waits for the joining member's promise
 *   WAIT_SETTLED   the runs after it, or after the last step forward, wait for it
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

#define FIRST 1 /* the ballot of the first value; 0: blank */
#define ENDING_STEPS 4
#ifdef ENDS
#define VALUES (ATTEMPTS + 3 + ENDING_STEPS)
#else
#define VALUES (ATTEMPTS + 3)
#endif
#define MEMBERS 4

/* Sets of members are bits. */
#define OLD_SET 7  /* a b c */
#ifdef ADD_BESIDE
#define NEW_SET 15 /* a b c d */
#else
#define NEW_SET 14 /* b c d */
#endif
#define ALL 15
#define JOINER 3   /* d */

#define STABLE_OLD 0
#define JOINING 1
#define FINISHING 2
#define REVERTING 3
#define STABLE_NEW 4

#define Bit(i) (1 << (i))
#define Has(set, i) (((set) >> (i)) & 1)
#define Size(set) (Has(set, 0) + Has(set, 1) + Has(set, 2) + Has(set, 3))
#define Majority(of, set) (2 * Size((of) & (set)) > Size(of))

#if defined(NO_JOINT)
#define JointQuorum(set) Majority(NEW_SET, set)
#elif defined(OLD_ALONE)
#define JointQuorum(set) Majority(OLD_SET, set)
#else
#define JointQuorum(set) (Majority(OLD_SET, set) && Majority(NEW_SET, set))
#endif

#define IsQuorum(p, set)                                                  \
  (((p) == STABLE_OLD && Majority(OLD_SET, set)) ||                       \
   ((p) == STABLE_NEW && Majority(NEW_SET, set)) ||                       \
   ((p) != STABLE_OLD && (p) != STABLE_NEW && JointQuorum(set)))
#define IsMember(p, i)                                                    \
  (((p) != STABLE_OLD || (i) != JOINER) &&                                \
   ((p) != STABLE_NEW || Has(NEW_SET, i)))

#ifdef UNCHOSEN_STEP
#define MayLeave(p) true
#else
#define MayLeave(p) Has(chosen_phases, p)
#endif

/* What each acceptor has promised and accepted: ballots. */
byte promised[MEMBERS];
byte accepted[MEMBERS];

/* Values, by the ballot that accepted them. */
byte phase[VALUES];
byte past[VALUES]; /* the set of ballots that made it, step by step */

#ifdef LOST
#define LOST_SET 1 /* a */
#else
#define LOST_SET 0
#endif
#define Answers(i) (!Has(LOST_SET, i))

byte decided;       /* the ballots that made the decided chain */
byte chosen_phases; /* phases known to be chosen */

/* Whether the new set decides without its lost members and without i. */
#define BearsLossOf(i) \
  Majority(NEW_SET, ALL & ~LOST_SET & ~Bit(i))

inline CheckSeen(value, before) {
  assert((decided & past[value]) == decided ||
         (decided & past[value]) == past[value]);
  assert((before & past[value]) == before);
  decided = decided | past[value]
}

proctype Attempt(byte ballot) {
  byte best = FIRST; /* known to every host from long ago */
  byte joined;       /* who promised; then, who accepted */
  bit joiner_holds;  /* d reported the value of `best` */
  byte before;       /* decided when the attempt started */
  byte i;

#ifdef QUERIES
  /* A query may come first: it shows what one acceptor has accepted, chosen
   * or not, and promises nothing. */
  atomic {
    if
    :: i = 0
    :: i = 1
    :: i = 2
    :: i = 3
    fi;
    if
    :: accepted[i] > best -> best = accepted[i]
    :: else -> skip
    fi;
    i = 0
  }
#endif

  /* Promises. One that comes after the quorum only hinders others, as a lost
   * message does, so it is left out, but for the one of a joining member. */
  do
  :: atomic {
       !IsQuorum(phase[best], joined) ||
       (phase[best] == JOINING && !Has(joined, JOINER)) ->
       if
       :: !Has(joined, 0) && IsMember(phase[best], 0) && Answers(0) -> i = 0
       :: !Has(joined, 1) -> i = 1
       :: !Has(joined, 2) -> i = 2
       :: !Has(joined, 3) && IsMember(phase[best], 3) -> i = 3
       fi;
       promised[i] < ballot;
       promised[i] = ballot;
       if
       :: joined == 0 -> before = decided
       :: else -> skip
       fi;
       joined = joined | Bit(i);
       if
       :: accepted[i] > best -> best = accepted[i]; joiner_holds = 0
       :: else -> skip
       fi;
       joiner_holds = joiner_holds || (i == JOINER && accepted[i] == best);
       i = 0
     }
  :: atomic {
       IsQuorum(phase[best], joined) ->
       phase[ballot] = phase[best];
       past[ballot] = past[best] | Bit(ballot);
       if
       :: true /* a change of the configuration */
       :: phase[best] == STABLE_OLD -> phase[ballot] = JOINING
       :: phase[best] == JOINING && joiner_holds -> phase[ballot] = FINISHING
#ifdef REVERTS
       :: phase[best] == JOINING -> phase[ballot] = REVERTING
       :: phase[best] == REVERTING && MayLeave(REVERTING) ->
          phase[ballot] = STABLE_OLD
#endif
       :: phase[best] == FINISHING && MayLeave(FINISHING) ->
          phase[ballot] = STABLE_NEW
       fi;
       joined = 0;
       joiner_holds = 0;
       best = 0;
       break
     }
  od;

  /* Acceptances. The value is decided with the one that makes the quorum,
   * whether or not the proposer lives to hear of it. */
  do
  :: atomic {
       if
       :: !Has(joined, 0) && IsMember(phase[ballot], 0) && Answers(0) -> i = 0
       :: !Has(joined, 1) -> i = 1
       :: !Has(joined, 2) -> i = 2
       :: !Has(joined, 3) && IsMember(phase[ballot], 3) -> i = 3
       fi;
       promised[i] <= ballot;
       promised[i] = ballot;
       accepted[i] = ballot;
       joined = joined | Bit(i);
       if
       :: IsQuorum(phase[ballot], joined) ->
          CheckSeen(ballot, before);
#ifdef LOST
          assert(phase[ballot] != STABLE_NEW ||
                 (BearsLossOf(1) && BearsLossOf(2) && BearsLossOf(3)));
#endif
          chosen_phases = chosen_phases | Bit(phase[ballot])
       :: else -> skip
       fi;
       i = 0
     }
  od
}

/* A read without promises: chosen, if a quorum accepted one and the same. */
proctype Reader() {
  byte best;
  byte holders;
  byte asked;
  byte before;
  byte i;

  before = decided;
  do
  :: atomic {
       if
       :: !Has(asked, 0) -> i = 0
       :: !Has(asked, 1) -> i = 1
       :: !Has(asked, 2) -> i = 2
       :: !Has(asked, 3) -> i = 3
       fi;
       asked = asked | Bit(i);
       if
       :: accepted[i] > best -> best = accepted[i]; holders = Bit(i)
       :: accepted[i] == best -> holders = holders | Bit(i)
       :: else -> skip
       fi;
       i = 0
     }
  :: atomic {
#ifdef LOOSE_READ
       best > 0 && IsQuorum(phase[best], asked) ->
#else
       best > 0 && IsQuorum(phase[best], holders) ->
#endif
       CheckSeen(best, before);
       break
     }
  od
}

#ifdef ENDS
#define IsStable(p) ((p) == STABLE_OLD || (p) == STABLE_NEW)

#ifdef WAIT_JOINING
#define WaitsIn(p) ((p) == JOINING)
#elif defined(WAIT_SETTLED)
#define WaitsIn(p) ((p) == FINISHING || (p) == REVERTING)
#else
#define WaitsIn(p) false
#endif

/* One host ends the change alone, while all others stand still. */
proctype Ender() {
  byte ballot = ATTEMPTS + 3;
  byte best;
  byte gone = LOST_SET;
  byte answering;
  bit joiner_holds;
  bit is_stuck;
  byte i;

  atomic {
    if
    :: gone = gone | Bit(JOINER)
    :: skip
    fi;
    answering = ALL & ~gone;
    do
    :: ballot < VALUES ->
       best = FIRST;
       for (i : 0 .. 3) {
         if
         :: Has(answering, i) ->
            promised[i] = ballot;
            if
            :: accepted[i] > best -> best = accepted[i]
            :: else -> skip
            fi
         :: else -> skip
         fi
       }
       if
       :: IsStable(phase[best]) -> break
       :: !IsStable(phase[best]) && !IsQuorum(phase[best], answering) -> break
       :: !IsStable(phase[best]) && IsQuorum(phase[best], answering) &&
          WaitsIn(phase[best]) && Has(gone, JOINER) ->
          is_stuck = 1;
          break
       :: else -> skip
       fi;
       joiner_holds = Has(answering, JOINER) && accepted[JOINER] == best;
       phase[ballot] = phase[best];
       past[ballot] = past[best];
       if
       :: phase[best] == JOINING && joiner_holds -> phase[ballot] = FINISHING
#ifndef NO_GIVE_UP
       :: phase[best] == JOINING && Has(gone, JOINER) ->
          phase[ballot] = REVERTING
#endif
       :: phase[best] == FINISHING && MayLeave(FINISHING) ->
          phase[ballot] = STABLE_NEW
       :: phase[best] == REVERTING && MayLeave(REVERTING) ->
          phase[ballot] = STABLE_OLD
       :: else -> skip
       fi;
       for (i : 0 .. 3) {
         if
         :: Has(answering, i) && IsMember(phase[ballot], i) ->
            accepted[i] = ballot
         :: else -> skip
         fi
       }
       if
       :: IsQuorum(phase[ballot], answering) ->
          chosen_phases = chosen_phases | Bit(phase[ballot])
       :: else -> skip
       fi;
       best = ballot;
       if
       :: IsStable(phase[best]) -> break
       :: else -> skip
       fi;
       ballot++
    :: else -> is_stuck = 1; break
    od;
    assert(!is_stuck);
    /* Nothing after this end counts. */
    false
  }
}
#endif

#if defined(NO_SYNC) || defined(BLANK_COUNTED)
proctype Crash() {
  byte i;
  atomic {
    if
    :: i = 0
    :: i = 1
    :: i = 2
    fi;
#ifdef NO_SYNC
    promised[i] = FIRST;
    accepted[i] = FIRST
#else
    promised[i] = 0;
    accepted[i] = 0
#endif
  }
}
#endif

init {
  byte ballot;
  byte joined;
  atomic {
    for (ballot : 0 .. 2) {
      promised[ballot] = FIRST;
      accepted[ballot] = FIRST
    }
#ifdef STARTED
    /* Ballot 2 has begun the replacement: some majority of the old members
     * promised it, and any acceptors, few or many, have accepted it. */
    phase[2] = JOINING;
    past[2] = Bit(FIRST) | Bit(2);
    if
    :: promised[0] = 2; promised[1] = 2
    :: promised[0] = 2; promised[2] = 2
    :: promised[1] = 2; promised[2] = 2
    fi;
    for (ballot : 0 .. 3) {
      if
      :: promised[ballot] = 2; accepted[ballot] = 2; joined = joined | Bit(ballot)
      :: skip
      fi
    }
    phase[FIRST] = STABLE_OLD;
    past[FIRST] = Bit(FIRST);
    decided = Bit(FIRST);
    if
    :: IsQuorum(JOINING, joined) ->
       decided = past[2];
       chosen_phases = Bit(JOINING)
    :: else -> skip
    fi;
    joined = 0;
    for (ballot : 3 .. ATTEMPTS + 2) {
      run Attempt(ballot)
    }
#else
    phase[FIRST] = STABLE_OLD;
    past[FIRST] = Bit(FIRST);
    decided = Bit(FIRST);
    for (ballot : 2 .. ATTEMPTS + 1) {
      run Attempt(ballot)
    }
#endif
#ifdef READERS
    run Reader();
#endif
#ifdef ENDS
    run Ender();
#endif
#if defined(NO_SYNC) || defined(BLANK_COUNTED)
    run Crash();
    run Crash();
#endif
    ballot = 0
  }
}
