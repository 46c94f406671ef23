package io.lagoonseam.wire;

import java.util.List;

/** The messages between a node that is cut off from workers and the nodes through which it sends its requests. */
public final class DetourMessages {

    private static final int VERSION = 1;

    private DetourMessages() {}

    /**
     * Asks whether a node reaches the workers of a service; answered by {@link Answer}.
     *
     * @param service the name of the service
     */
    public record Ask(String service) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).text(service).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Ask decode(byte[] payload) {
            return new Ask(new MessageReader(payload, VERSION).text());
        }
    }

    /**
     * The answer to {@link Ask}.
     *
     * @param reached whether the node reaches workers and takes requests of other nodes
     * @param inFlight the number of requests that it has in flight for other nodes
     * @param others the ids of nodes that reach the workers, as far as this one knows; empty if it reaches them itself
     */
    public record Answer(boolean reached, int inFlight, List<String> others) {

        /** Copies the list. */
        public Answer {
            others = List.copyOf(others);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .flag(reached)
                    .number(inFlight)
                    .list(others)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Answer decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Answer(reader.flag(), (int) reader.number(), reader.list());
        }
    }

    /**
     * The route of a request, as it was decided by the node that took it.
     *
     * @param name the name of the route
     * @param kind the ordinal of the kind of work
     * @param timeoutMillis the maximum duration of a request, in milliseconds
     * @param objectiveMillis the latency objective, in milliseconds
     * @param gapObjectiveMillis the maximum gap between events, in milliseconds
     * @param attemptsLeft the number of workers that may still run the request
     * @param lane the ordinal of the lane if a node chooses the worker
     * @param homeLane the ordinal of the lane if a home does
     */
    public record RouteTerms(
            String name,
            int kind,
            long timeoutMillis,
            long objectiveMillis,
            long gapObjectiveMillis,
            int attemptsLeft,
            int lane,
            int homeLane) {}

    /**
     * What a node decided about a request that another one sends for it. The request itself is sent as the caller sent
     * it.
     *
     * @param route the terms of its route
     * @param service the name of the service
     * @param workspace the workspace, empty for an anonymous request
     * @param priority the priority; 0 is the most urgent
     * @param ageMillis the time since it arrived, in milliseconds
     * @param remainingMillis the time until its deadline, in milliseconds
     * @param streamRequestId the id of the request that began the stream
     * @param softwareVersion the software version that began the stream, empty for a stream that begins
     * @param lastEventId the id of the last event that the caller has received, empty if it has received none
     * @param triedWorkers the ids of the workers that have been tried
     * @param letThrough whether the quarantine has let it through
     * @param counts whether the receiver counts it for its part of the retry budget
     */
    public record Terms(
            RouteTerms route,
            String service,
            String workspace,
            int priority,
            long ageMillis,
            long remainingMillis,
            String streamRequestId,
            String softwareVersion,
            String lastEventId,
            List<String> triedWorkers,
            boolean letThrough,
            boolean counts) {

        /** Copies the list. */
        public Terms {
            triedWorkers = List.copyOf(triedWorkers);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .text(route.name())
                    .number(route.kind())
                    .number(route.timeoutMillis())
                    .number(route.objectiveMillis())
                    .number(route.gapObjectiveMillis())
                    .number(route.attemptsLeft())
                    .number(route.lane())
                    .number(route.homeLane())
                    .text(service)
                    .text(workspace)
                    .number(priority)
                    .number(ageMillis)
                    .number(remainingMillis)
                    .text(streamRequestId)
                    .text(softwareVersion)
                    .text(lastEventId)
                    .list(triedWorkers)
                    .flag(letThrough)
                    .flag(counts)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Terms decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            RouteTerms route = new RouteTerms(
                    reader.text(),
                    (int) reader.number(),
                    reader.number(),
                    reader.number(),
                    reader.number(),
                    (int) reader.number(),
                    (int) reader.number(),
                    (int) reader.number());
            return new Terms(
                    route,
                    reader.text(),
                    reader.text(),
                    (int) reader.number(),
                    reader.number(),
                    reader.number(),
                    reader.text(),
                    reader.text(),
                    reader.text(),
                    reader.list(),
                    reader.flag(),
                    reader.flag());
        }
    }

    /** What became of a request at the node that sent it for another one. */
    public enum Result {
        /** A worker answered. */
        ANSWERED,
        /** The request has not run, and should not be sent through another node either. */
        REFUSED,
        /** The node does not reach the workers or takes no more requests; the request has not run. */
        NOT_TAKEN,
        /** The request may have run, and there is no answer. */
        FAILED
    }

    /**
     * What a node says about a request that it sent for another one, besides the answer of the worker.
     *
     * @param result what became of it
     * @param runs the number of workers that have run it or may have run it
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds; 0 to state none
     * @param softwareVersion the software version that began the stream, empty if it is not known
     * @param reason why there is no answer, empty if there is one
     */
    public record Outcome(Result result, int runs, long retryAfterMillis, String softwareVersion, String reason) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .number(result.ordinal())
                    .number(runs)
                    .number(retryAfterMillis)
                    .text(softwareVersion)
                    .text(reason)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Outcome decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Outcome(
                    reader.constant(Result.values()),
                    (int) reader.number(),
                    reader.number(),
                    reader.text(),
                    reader.text());
        }
    }
}
