package org.plantainshunt.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.plantainshunt.configuration.AllowedCall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the bound on retries over whole call trees, with any losses and with retries by any node. */
class RetryBoundTest {
    private int executions;
    private double lossProbability;
    private int overstatement;
    private Random random;

    /** Executions must never exceed the declared tree plus the allowance, or retries multiply at each hop. */
    @Property(tries = 20_000)
    void executionsStayWithinDeclaredTreeAndAllowance(
            @ForAll long seed, @ForAll @IntRange(max = 8) int allowance, @ForAll @IntRange(max = 95) int lostPercent) {
        random = new Random(seed);
        lossProbability = lostPercent / 100.0;
        executions = 0;
        Tree tree = Tree.random(random, 0);
        call(tree, new RetryShare(allowance, false));
        assertTrue(
                executions <= tree.size() + allowance,
                executions + " executions of a tree of " + tree.size() + " with allowance " + allowance);
    }

    /** The returned share must never exceed the one that was sent, even if a peer overstates it. */
    @Property(tries = 5_000)
    void unusedNeverExceedsShare(@ForAll long seed, @ForAll @IntRange(max = 8) int allowance) {
        random = new Random(seed);
        lossProbability = 0.5;
        overstatement = 3;
        int unused = call(Tree.random(random, 0), new RetryShare(allowance, false));
        assertTrue(unused >= 0 && unused <= allowance, "unused " + unused);
    }

    /** Simulates an entry node that retries until an answer or a refused retry; returns the remaining allowance. */
    private int call(Tree tree, RetryShare share) {
        AttemptAllowance attempts = new AttemptAllowance(share, tree.size() - 1);
        Optional<RetryShare> attempt = Optional.of(attempts.firstAttempt());
        boolean mayHaveRun = false;
        while (attempt.isPresent()) {
            boolean refused = random.nextDouble() < lossProbability / 3;
            int unused = refused ? attempt.get().allowance() : serve(tree, attempt.get());
            mayHaveRun |= !refused;
            boolean answerLost = !refused && random.nextDouble() < lossProbability;
            if (!answerLost) {
                attempts.giveBack(attempt.get(), unused + overstatement);
            }
            if (!answerLost && !refused) {
                break;
            }
            attempt = attempts.retry(mayHaveRun);
        }
        return attempts.remaining();
    }

    /** Simulates a backend server that makes its declared calls, repeats some and may make calls after its answer. */
    private int serve(Tree tree, RetryShare share) {
        executions++;
        AllowanceLedger ledger = AllowanceLedger.of(share, tree.declared());
        List<Tree> calls = new ArrayList<>(tree.children);
        for (int extra = random.nextInt(4); extra > 0 && !tree.children.isEmpty(); extra--) {
            calls.add(tree.children.get(random.nextInt(tree.children.size())));
        }
        int answerAfter = random.nextInt(calls.size() + 1);
        int unused = 0;
        for (int index = 0; index < calls.size(); index++) {
            unused = index == answerAfter ? ledger.close() : unused;
            makeCall(calls.get(index), ledger);
        }
        return answerAfter == calls.size() ? ledger.close() : unused;
    }

    private void makeCall(Tree child, AllowanceLedger ledger) {
        Optional<RetryShare> share = ledger.take("s", child.name);
        if (share.isPresent()) {
            int unused = call(child, share.get());
            if (random.nextDouble() >= lossProbability) {
                ledger.giveBack(share.get(), unused);
            }
        }
    }

    /** A share is half of the rest, rounded up, or all of it for the last declared call; a repeat costs one. */
    @Example
    void sharesFollowDeclaredCalls() {
        AllowanceLedger ledger =
                new AllowanceLedger(5, List.of(new AllowedCall("s", "a", 1), new AllowedCall("s", "b", 1)));
        assertEquals(3, ledger.takeFor("s", "a").getAsInt());
        ledger.giveBack(3);
        assertEquals(5, ledger.remaining());
        assertEquals(2, ledger.takeFor("s", "a").getAsInt());
        assertEquals(2, ledger.remaining());
        assertEquals(2, ledger.takeFor("s", "b").getAsInt());
        assertEquals(5, ledger.spent());
        assertFalse(ledger.takeFor("s", "b").isPresent());
    }

    /** Unbounded retries must not multiply the load of a failing fleet, and the budget must be replenished. */
    @Example
    void budgetPermitsShareOfAttemptsAndOnePerSecond() {
        RetryBudget budget = new RetryBudget(0.1);
        int retries = 0;
        for (long millisecond = 0; millisecond < 60_000; millisecond++) {
            long now = millisecond * 1_000_000;
            budget.attempted(now);
            retries += budget.tryRetry(now) ? 1 : 0;
        }
        assertTrue(retries >= 6_000 && retries <= 6_000 + 70, retries + " retries of 60000 attempts");
        assertTrue(budget.tryRetry(120_000_000_000L));
    }

    /** A call tree in which each call is declared by its own name. */
    private record Tree(String name, List<Tree> children) {
        static Tree random(Random random, int depth) {
            List<Tree> children = new ArrayList<>();
            int fanOut = depth >= 4 ? 0 : random.nextInt(4);
            for (int index = 0; index < fanOut; index++) {
                Tree child = random(random, depth + 1);
                children.add(new Tree("k" + index, child.children));
            }
            return new Tree("k", children);
        }

        int size() {
            return 1 + children.stream().mapToInt(Tree::size).sum();
        }

        List<AllowedCall> declared() {
            return children.stream()
                    .map(child -> new AllowedCall("s", child.name, 1))
                    .toList();
        }
    }
}
