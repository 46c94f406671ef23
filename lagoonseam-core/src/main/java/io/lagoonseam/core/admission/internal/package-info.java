/** Queues, schedulers and estimators of {@link io.lagoonseam.core.admission.DefaultAdmissionController}. */
package io.lagoonseam.core.admission.internal;
