/*
 * Preloaded into a router under test: its wall clock is off by what the file named by SHIM_CLOCK_FILE holds, a 64-bit
 * number of microseconds that the test may change at any time. The monotonic clocks run on untouched.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static volatile int64_t *offset;
static int (*real_clock_gettime)(clockid_t, struct timespec *);

__attribute__((constructor)) static void begin(void) {
    real_clock_gettime = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    const char *path = getenv("SHIM_CLOCK_FILE");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED)
        offset = mapped;
    close(file);
}

int clock_gettime(clockid_t id, struct timespec *at) {
    if (!real_clock_gettime)
        real_clock_gettime = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    int result = real_clock_gettime(id, at);
    if (result == 0 && offset && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = (int64_t)at->tv_sec * 1000000000 + at->tv_nsec + *offset * 1000;
        at->tv_sec = nanos / 1000000000;
        at->tv_nsec = nanos % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    (void)zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at)
        *at = now.tv_sec;
    return now.tv_sec;
}
