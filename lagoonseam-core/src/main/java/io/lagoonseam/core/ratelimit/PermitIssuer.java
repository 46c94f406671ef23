package io.lagoonseam.core.ratelimit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Issues the permits for the limits of workers to all nodes, so that their sum stays within the limit however many
 * nodes there are and however low the limit is. If permits are short, the most urgent request gets the next one. Not
 * thread-safe.
 */
public final class PermitIssuer {

    /**
     * The lowest rate at which permits are issued, in permits per second: a worker that gets no requests cannot tell
     * that its limit has ended.
     */
    static final double MIN_PER_SECOND = 0.1;

    private static final Comparator<PermitAsk> MOST_URGENT_FIRST =
            Comparator.comparingInt(PermitAsk::priority).thenComparingLong(PermitAsk::expiresMillis);

    private final ToDoubleFunction<WorkerIncarnation> perSecond;
    private final Map<WorkerIncarnation, Account> accounts = new HashMap<>();

    private static final class Account {
        private final PermitBucket bucket;
        private final List<PermitAsk> waiting = new ArrayList<>();

        Account(long nowMillis) {
            this.bucket = new PermitBucket(nowMillis);
        }
    }

    /**
     * The answer to a question.
     *
     * @param ask the question
     * @param granted whether the node may send one request
     */
    public record Answer(PermitAsk ask, boolean granted) {}

    /**
     * Creates an issuer that has issued nothing.
     *
     * @param perSecond returns how many permits per second this node may issue for a worker; 0 if it issues none
     */
    public PermitIssuer(ToDoubleFunction<WorkerIncarnation> perSecond) {
        this.perSecond = perSecond;
    }

    /**
     * Adds a question, which replaces an earlier one of the same node for the same worker.
     *
     * @param ask the question
     * @param nowMillis the current time, in milliseconds
     * @return the answers that are due, possibly to this question
     */
    public List<Answer> ask(PermitAsk ask, long nowMillis) {
        Account account = accounts.computeIfAbsent(ask.worker(), worker -> new Account(nowMillis));
        List<Answer> answers = new ArrayList<>();
        account.waiting.removeIf(earlier -> {
            boolean replaced = earlier.node().equals(ask.node());
            if (replaced) {
                answers.add(new Answer(earlier, false));
            }
            return replaced;
        });
        account.waiting.add(ask);
        answers.addAll(answer(ask.worker(), account, nowMillis));
        return answers;
    }

    /**
     * Answers the questions for which there is a permit, and those that have waited too long.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the answers
     */
    public List<Answer> tick(long nowMillis) {
        List<Answer> answers = new ArrayList<>();
        accounts.forEach((worker, account) -> answers.addAll(answer(worker, account, nowMillis)));
        return answers;
    }

    private List<Answer> answer(WorkerIncarnation worker, Account account, long nowMillis) {
        List<Answer> answers = new ArrayList<>();
        double issued = perSecond.applyAsDouble(worker);
        double rate = issued == 0 ? 0 : Math.max(MIN_PER_SECOND, issued);
        account.waiting.sort(MOST_URGENT_FIRST);
        account.waiting.removeIf(ask -> {
            boolean expired = ask.expiresMillis() <= nowMillis;
            boolean granted = !expired && account.bucket.tryTake(rate, nowMillis);
            if (expired || granted) {
                answers.add(new Answer(ask, granted));
            }
            return expired || granted;
        });
        return answers;
    }

    /** Returns the number of questions that wait. */
    public int waiting() {
        return accounts.values().stream()
                .mapToInt(account -> account.waiting.size())
                .sum();
    }

    /**
     * Refuses all questions and forgets what has been issued.
     *
     * @return the answers
     */
    public List<Answer> reset() {
        List<Answer> answers = new ArrayList<>();
        accounts.values().forEach(account -> account.waiting.forEach(ask -> answers.add(new Answer(ask, false))));
        accounts.clear();
        return answers;
    }

    /**
     * Forgets the workers that no longer exist. Questions for them are answered by the next {@link #tick}.
     *
     * @param existing the workers that exist
     */
    public void retain(Set<WorkerIncarnation> existing) {
        accounts.entrySet().removeIf(entry -> entry.getValue().waiting.isEmpty() && !existing.contains(entry.getKey()));
    }
}
