/** Admission control: queues, the order of service, and load shedding of requests. */
package io.lagoonseam.core.admission;
