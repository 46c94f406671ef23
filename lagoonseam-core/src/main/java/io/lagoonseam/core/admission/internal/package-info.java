/** Queues, estimates and shares behind {@link io.lagoonseam.core.admission.DefaultAdmissionController}. */
package io.lagoonseam.core.admission.internal;
